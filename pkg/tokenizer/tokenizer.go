// Package tokenizer estimates the token counts of texts and computes digests of prompts and request bodies.
package tokenizer

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the assumed mean length of a token.
	bytesPerToken = 4
	// prefixBytes is the length of the first block of a prompt. Prefix caches use the digest of this block as key.
	prefixBytes = 1024
)

// CountTokens estimates the number of tokens in a text from its length in bytes. The estimate is at least 1.
func CountTokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// PrefixDigest returns the digest of the first 1024 bytes of a prompt, or 0 for a shorter prompt. Prompts with the same
// prefix digest can share a prefix cache.
func PrefixDigest(text string) uint64 {
	if len(text) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(text[:prefixBytes])
}

// Digest returns the digest of a request body. The scope, such as the name of an account, is part of the digest, so
// that equal bodies in different scopes have different digests.
func Digest(scope, body string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(scope)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(body)
	return d.Sum64()
}

// Parts returns the parts of a prompt that other prompts may share: its lines but the last one, without empty ones and those
// that it repeats, at most limit.
func Parts(prompt string, limit int) []string {
	var out []string
	seen := map[string]bool{}
	for len(out) < limit {
		line, rest, found := strings.Cut(prompt, "\n")
		if !found {
			break
		}
		prompt = rest
		if line = strings.TrimSpace(line); line != "" && !seen[line] {
			seen[line] = true
			out = append(out, line)
		}
	}
	return out
}
