// Package tokenizer estimates token counts and digests of prompts.
package tokenizer

import "github.com/cespare/xxhash/v2"

const (
	// bytesPerToken is the mean length of a token.
	bytesPerToken = 4
	// prefixBytes is the length of the block that prefix caches are keyed by.
	prefixBytes = 1024
)

// CountTokens estimates the tokens of a text; at least one.
func CountTokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// PrefixDigest returns the digest of the first block, or zero for a prompt shorter than a block.
func PrefixDigest(text string) uint64 {
	if len(text) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(text[:prefixBytes])
}

// Digest returns the digest of an account's body.
func Digest(scope, body string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(scope)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(body)
	return d.Sum64()
}
