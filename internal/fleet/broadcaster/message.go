package broadcaster

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
)

// stateMethod names the one notification between gateways.
const stateMethod = "state"

// maxMessageBytes is the largest message, in bytes; a datagram holds no more.
const maxMessageBytes = 60 << 10

// Load is what a gateway has on a model endpoint.
type Load struct {
	Endpoint string `json:"e"`
	// RunningRequests holds prompt tokens, expected answer tokens and age in ms of each request that runs there.
	RunningRequests [][3]int `json:"r,omitempty"`
	// PrefillBacklogTokens is the prompt tokens that are still to be read.
	PrefillBacklogTokens int `json:"b,omitempty"`
	// LastPrefill is the latest prompt that the sender had read there; nil where there was none lately.
	LastPrefill *PrefillSample `json:"p,omitempty"`
	// LastFailure is the sender's latest failure there, and Worked the age of its latest success, in ms; nil where there was
	// none lately.
	LastFailure      *Failure `json:"f,omitempty"`
	LastSuccessAgeMs *int64   `json:"w,omitempty"`
}

// Failure is a failure of an endpoint.
type Failure struct {
	// ID is another one for each failure, Age the time since, in ms.
	ID    uint64 `json:"n"`
	AgeMs int64  `json:"a"`
}

// PrefillSample tells how fast an endpoint read a prompt.
type PrefillSample struct {
	// ID is another one for each prompt, Rate is in tokens a second.
	ID              uint64 `json:"n"`
	TokensPerSecond int    `json:"r"`
	// Uncontended is set where nothing else was known to be read there meanwhile.
	Uncontended bool `json:"a,omitempty"`
}

// CrashRecord is a request that was running when endpoints crashed.
type CrashRecord struct {
	Fingerprint uint64   `json:"f"`
	Endpoints   []string `json:"e"`
	// AgeMs is the time since the latest crash, in ms.
	AgeMs int64 `json:"a"`
}

// EndpointChange is a change of the endpoint list that the sender read from the store.
type EndpointChange struct {
	Key string `json:"k"`
	// Revision is the store's.
	Revision uint64 `json:"r"`
	// Removed is set where the entry was removed; Endpoint is empty then.
	Removed  bool             `json:"g,omitempty"`
	Endpoint *lister.Endpoint `json:"e,omitempty"`
}

// Message is what a gateway tells the others of itself.
type Message struct {
	// From is the address that the sender listens on.
	From string `json:"from"`
	// Incarnation is another one after each start of the sender.
	Incarnation uint64 `json:"inc"`
	// Sequence rises with each message of an incarnation, so that late datagrams are dropped.
	Sequence uint64 `json:"seq"`
	// NeedsAvailableTokens is set by a process that asks for the levels of the accounts.
	NeedsAvailableTokens bool `json:"young,omitempty"`
	// ConfigVersion is the configuration in force, and Age how long ago, in ms, it was known to be the newest.
	ConfigVersion uint64 `json:"ver,omitempty"`
	ConfigAgeMs   int64  `json:"age,omitempty"`
	Loads         []Load `json:"load,omitempty"`
	// LoadsOnly is set where the message only tells the loads of some endpoints, right after they changed.
	LoadsOnly bool `json:"part,omitempty"`
	// EndpointRequests are the requests that endpoints of plain services said they hold, and the age of that in ms.
	EndpointRequests map[string][2]int64 `json:"held,omitempty"`
	// AdmittedTotals are the tokens admitted since the start for each account that was charged lately; Whole tells that it is all.
	AdmittedTotals map[string]float64 `json:"total,omitempty"`
	AllAccounts    bool               `json:"whole,omitempty"`
	// AvailableTokens are the tokens that each account has left.
	AvailableTokens map[string]float64 `json:"level,omitempty"`
	CrashRecords    []CrashRecord      `json:"blame,omitempty"`
	// OrderAgesMs are the ages, in ms, of the latest orders to endpoints.
	OrderAgesMs map[string]int64 `json:"order,omitempty"`
	// EndpointChanges are the latest changes of the endpoint list.
	EndpointChanges []EndpointChange `json:"list,omitempty"`
	// PeerAddresses are the addresses of some other gateways.
	PeerAddresses []string `json:"known,omitempty"`
}

// encode returns the message as a JSON-RPC notification.
func (m Message) encode() ([]byte, error) {
	r := jsonrpc2.Request{Method: stateMethod, Notif: true}
	if err := r.SetParams(m); err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	b, err := r.MarshalJSON()
	if err == nil && len(b) > maxMessageBytes {
		return nil, errors.Errorf("state of %d bytes does not fit into a datagram", len(b))
	}
	return b, errors.Wrap(err, "encode state")
}

// decode reads a JSON-RPC notification.
func decode(b []byte) (Message, error) {
	var r jsonrpc2.Request
	if err := json.Unmarshal(b, &r); err != nil {
		return Message{}, errors.Wrap(err, "decode notification")
	}
	if r.Method != stateMethod || r.Params == nil {
		return Message{}, errors.Errorf("method %q is not known", r.Method)
	}
	var m Message
	if err := json.Unmarshal(*r.Params, &m); err != nil {
		return Message{}, errors.Wrap(err, "decode state")
	}
	if m.From == "" || m.Incarnation == 0 {
		return Message{}, errors.New("state without a sender")
	}
	return m, nil
}
