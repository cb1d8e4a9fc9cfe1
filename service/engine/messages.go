// Package engine is the wire form of a model engine's HTTP interface.
package engine

// PrefillRequest is the body of POST /v1/prefill.
type PrefillRequest struct {
	ID       string `json:"id"`
	Prompt   string `json:"prompt"`
	Tokens   int    `json:"tokens"`
	Prefix   uint64 `json:"prefix,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// PrefillAnswer is its answer.
type PrefillAnswer struct {
	Handle string `json:"handle"`
}

// DecodeRequest is the body of POST /v1/decode.
type DecodeRequest struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
	// Sent is how many tokens of the answer the caller has.
	Sent int `json:"sent,omitempty"`
	// Max is the largest answer in tokens.
	Max int `json:"max"`
	// Source is the base URL of the engine that holds the KV cache, and Handle its name there.
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// Chunk is one line of the answer of POST /v1/decode.
type Chunk struct {
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	End   bool   `json:"end,omitempty"`
}

// LoadAnswer is the answer of GET /v1/load.
type LoadAnswer struct {
	Streams int `json:"streams"`
	Backlog int `json:"backlog"`
	Free    int `json:"free"`
	Kept    int `json:"kept"`
	Worked  int `json:"worked"`
}

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}
