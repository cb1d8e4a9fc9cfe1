// Package engine is the wire form of a model engine's HTTP interface.
package engine

// PrefillRequest is the body of POST /v1/prefill.
type PrefillRequest struct {
	ID           string `json:"id"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"tokens"`
	PrefixDigest uint64 `json:"prefix,omitempty"`
	Priority     int    `json:"priority,omitempty"`
}

// PrefillResponse is its answer.
type PrefillResponse struct {
	KVHandle string `json:"handle"`
}

// DecodeRequest is the body of POST /v1/decode.
type DecodeRequest struct {
	ID           string `json:"id"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"tokens"`
	// SentTokens is how many tokens of the answer the caller has.
	SentTokens int `json:"sent,omitempty"`
	// MaxOutputTokens is the largest answer in tokens.
	MaxOutputTokens int `json:"max"`
	// KVSource is the base URL of the engine that holds the KV cache, and Handle its name there.
	KVSource string `json:"source"`
	KVHandle string `json:"handle"`
}

// Chunk is one line of the answer of POST /v1/decode.
type Chunk struct {
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	End   bool   `json:"end,omitempty"`
}

// LoadResponse is the answer of GET /v1/load.
type LoadResponse struct {
	ActiveStreams   int `json:"streams"`
	BacklogTokens   int `json:"backlog"`
	FreePieces      int `json:"free"`
	StoredKVCaches  int `json:"kept"`
	PrefilledTokens int `json:"worked"`
}

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	FencingToken uint64 `json:"fence"`
	Kind         string `json:"kind"`
	Value        string `json:"value"`
}
