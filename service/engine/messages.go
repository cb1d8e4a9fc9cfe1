// Package engine contains the JSON messages of a model engine's HTTP interface.
package engine

// PrefillRequest is the body of POST /v1/prefill, which computes the KV cache of a prompt.
type PrefillRequest struct {
	// ID identifies the attempt at the engine.
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	// PromptTokens is the length of the prompt and of the output that the caller has already received from earlier
	// attempts.
	PromptTokens int `json:"tokens"`
	// PrefixDigest is the digest of the beginning of the prompt. Prompts with the same digest can share a KV cache.
	PrefixDigest uint64 `json:"prefix,omitempty"`
	// Priority orders the prefills that wait. Priority 0 is prefilled first.
	Priority int `json:"priority,omitempty"`
}

// PrefillResponse is the response to a PrefillRequest.
type PrefillResponse struct {
	// KVHandle is the name of the KV cache at this engine.
	KVHandle string `json:"handle"`
}

// DecodeRequest is the body of POST /v1/decode, which generates output from a KV cache.
type DecodeRequest struct {
	// ID identifies the attempt at the engine.
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	// PromptTokens is the length of the prompt and of the output that the caller has already received.
	PromptTokens int `json:"tokens"`
	// SentTokens is the number of output tokens that the caller has already received. The stream continues after them.
	SentTokens int `json:"sent,omitempty"`
	// MaxOutputTokens is the largest number of output tokens, including SentTokens.
	MaxOutputTokens int `json:"max"`
	// KVSource is the base URL of the engine that stores the KV cache, and KVHandle the cache's name there.
	KVSource string `json:"source"`
	KVHandle string `json:"handle"`
}

// Chunk is one line of the response of POST /v1/decode, a stream of JSON objects.
type Chunk struct {
	// Index is the position of the token in the whole output.
	Index int `json:"index"`
	// Text is the text of one token.
	Text string `json:"text,omitempty"`
	// End marks the last line of a complete output. That line has no text.
	End bool `json:"end,omitempty"`
}

// LoadResponse is the response of GET /v1/load.
type LoadResponse struct {
	// ActiveStreams is the number of decodes in progress.
	ActiveStreams int `json:"streams"`
	// BacklogTokens is the number of prompt tokens still to prefill.
	BacklogTokens int `json:"backlog"`
	// FreePieces is the number of free pieces of KV memory.
	FreePieces int `json:"free"`
	// StoredKVCaches is the number of KV caches of prefills that no decode has fetched yet.
	StoredKVCaches int `json:"kept"`
	// PrefilledTokens is the number of prompt tokens prefilled so far.
	PrefilledTokens int `json:"worked"`
}

// OrderRequest is the body of POST /v1/orders, a command to the engine: Kind says which one, and Value is its argument.
type OrderRequest struct {
	// FencingToken lets the engine refuse an order that is older than the latest one of its kind.
	FencingToken uint64 `json:"fence"`
	Kind         string `json:"kind"`
	Value        string `json:"value"`
}
