package broadcaster

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/pistachiovane/pistachiovane/internal/config/revoker"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashencoder"
)

// stateMethod is the JSON-RPC method of the notification with the state of a gateway.
const stateMethod = "state"

// maxMessageBytes keeps a message within the largest UDP datagram, which holds just under 64 KiB.
const maxMessageBytes = 60 << 10

// Load is the work that a gateway runs on a model endpoint, and what it has recently observed there.
type Load struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string `json:"e"`
	// RunningRequests holds three numbers for each request that the sender runs there: its prompt tokens, its expected
	// output tokens and its age in ms.
	RunningRequests [][3]int `json:"r,omitempty"`
	// PrefillBacklogTokens is the number of prompt tokens that the sender sent there and that are not prefilled yet.
	PrefillBacklogTokens int `json:"b,omitempty"`
	// LastPrefill is the latest prefill that the sender measured there; nil if there was no recent one.
	LastPrefill *PrefillSample `json:"p,omitempty"`
	// LastFailure is the sender's latest failure there, and LastSuccessAgeMs the time in ms since its latest success
	// that ended a series of failures, its own or those of peers. Both are nil if there was no recent one.
	LastFailure      *Failure `json:"f,omitempty"`
	LastSuccessAgeMs *int64   `json:"w,omitempty"`
}

// Failure is a failed attempt at an endpoint.
type Failure struct {
	// ID distinguishes the failures of one sender. A failure is sent in several messages, and the receiver counts it
	// once.
	ID uint64 `json:"n"`
	// AgeMs is the time since the failure in ms.
	AgeMs int64 `json:"a"`
}

// PrefillSample is the measured speed of one prefill.
type PrefillSample struct {
	// ID distinguishes the samples of one sender. A sample is sent in several messages, and the receiver uses it once.
	ID              uint64 `json:"n"`
	TokensPerSecond int    `json:"r"`
	// PromptTokens is the length of the prompt.
	PromptTokens int `json:"t,omitempty"`
	// Uncontended is true if no other prefill was known to run at the endpoint at the same time.
	Uncontended bool `json:"a,omitempty"`
}

// Usage is the endpoint time that recent generations of one service used. The generations are counted with weights
// that decay with their age.
type Usage struct {
	Generations   float64 `json:"n"`
	PrefillMillis float64 `json:"p"`
	DecodeMillis  float64 `json:"d"`
}

// CrashRecord is a request that was running on endpoints when they crashed.
type CrashRecord struct {
	Fingerprint uint64 `json:"f"`
	// Endpoints holds the IDs of the endpoints whose crashes are not cleared, and AgeMs is the time since the latest of
	// them in ms. Gateways of older builds read only these.
	Endpoints []string `json:"e"`
	AgeMs     int64    `json:"a"`
	// DurationMs is the time from the start of the run to the only crash in ms, or zero if it is not known or Crashes is set.
	DurationMs int64 `json:"d,omitempty"`
	// Crashes holds all crashes.
	Crashes []Crash `json:"c,omitempty"`
}

// Crash is a crash of one endpoint.
type Crash struct {
	Endpoint string `json:"e"`
	// AgeMs is the time since the crash in ms, and DurationMs the time from the start of the run to it, or zero if that is not
	// known.
	AgeMs      int64 `json:"a"`
	DurationMs int64 `json:"d,omitempty"`
	// Cleared is set if the request has completed since.
	Cleared bool `json:"ok,omitempty"`
}

// EndpointChange is a change of the endpoint list that the sender has read from the store or received from a peer.
type EndpointChange struct {
	Key string `json:"k"`
	// Era and Revision are the era and the number of the revision of the store that made the change. Era is nil from older builds.
	Era      *uint64 `json:"era,omitempty"`
	Revision uint64  `json:"r"`
	// Removed is true if the entry was removed; Endpoint is nil then.
	Removed  bool             `json:"g,omitempty"`
	Endpoint *lister.Endpoint `json:"e,omitempty"`
}

// ConfigEras holds the latest era of the store in which a configuration was read, and the latest in which it was confirmed.
type ConfigEras struct {
	Read      uint64 `json:"r"`
	Confirmed uint64 `json:"c"`
}

// Message is the state that a gateway sends to its peers. The JSON tags are the wire format between gateways of
// different builds and must not change.
type Message struct {
	// From is the address on which the sender receives messages, as host:port.
	From string `json:"from"`
	// Incarnation is a random number, different after each start of the sender and never zero.
	Incarnation uint64 `json:"inc"`
	// Sequence increases with each message of an incarnation, so that late datagrams can be dropped.
	Sequence uint64 `json:"seq"`
	// SentAtMs is when the message was composed, on the sender's clock. Age is set by the receiver: the message was composed no
	// longer ago than that. It is zero and AgeKnown is false if nothing bounds it; nothing that is as old as the message may be
	// taken for current then.
	SentAtMs int64         `json:"sent,omitempty"`
	Age      time.Duration `json:"-"`
	AgeKnown bool          `json:"-"`
	// NeedsAvailableTokens is true if the sender has just started and asks for the available tokens of the accounts.
	NeedsAvailableTokens bool `json:"young,omitempty"`
	// ConfigVersion is the version of the sender's active configuration, and ConfigAgeMs the time in ms since the store
	// last confirmed to the sender that this version is the newest.
	ConfigVersion uint64 `json:"ver,omitempty"`
	ConfigAgeMs   int64  `json:"age,omitempty"`
	// ConfigEras says in which eras of the store the sender has read that version, and had it confirmed. It is nil from older
	// builds.
	ConfigEras *ConfigEras `json:"eras,omitempty"`
	// Withdrawn says which keys the version withdrew, for a while after the sender has read it.
	Withdrawn []revoker.Announcement `json:"gone,omitempty"`
	Loads     []Load                 `json:"load,omitempty"`
	// LoadsOnly is true if the message holds only the loads of some endpoints, sent right after they changed.
	LoadsOnly bool `json:"part,omitempty"`
	// EndpointRequests holds two numbers for each endpoint of a plain service: the number of running requests that the
	// endpoint last reported, and the age of that report in ms.
	EndpointRequests map[string][2]int64 `json:"held,omitempty"`
	// AdmittedTotals holds the tokens admitted since the sender's start for each account whose total changed recently.
	// AllAccounts is true if it holds all accounts for which tokens were admitted.
	AdmittedTotals map[string]float64 `json:"total,omitempty"`
	AllAccounts    bool               `json:"whole,omitempty"`
	// FleetSize is the number of gateways that the sender knows, and FleetSizeMs the time in ms for which the receiver may
	// use it. Both are zero if the sender has just started and does not know.
	FleetSize   int   `json:"size,omitempty"`
	FleetSizeMs int64 `json:"sizems,omitempty"`
	// AvailableTokens holds the tokens that each account may still spend. Only peers that need them get them.
	AvailableTokens map[string]float64 `json:"level,omitempty"`
	CrashRecords    []CrashRecord      `json:"blame,omitempty"`
	// Parts says which parts of prompts may crash endpoints.
	Parts crashencoder.Reports `json:"parts,omitzero"`
	// OrderAgesMs holds, by endpoint, the age in ms of the latest order to change the stage. The order is to become a
	// decode endpoint unless PrefillOrders names the endpoint.
	OrderAgesMs   map[string]int64 `json:"order,omitempty"`
	PrefillOrders []string         `json:"prefills,omitempty"`
	// FencingToken is the highest fencing token that the sender has used or learned of.
	FencingToken int64 `json:"fence,omitempty"`
	// Usages holds the endpoint time that recent generations of the sender used, by service.
	Usages map[string]Usage `json:"use,omitempty"`
	// EndpointChanges holds changes of the endpoint list that the sender learned recently. Each is sent a few times.
	EndpointChanges []EndpointChange `json:"list,omitempty"`
	// ListAgeMs is sent by older builds, which repeat all changes for a while: the time in ms since the store last
	// confirmed to the sender that it knows all changes of the endpoint list. Otherwise it is nil.
	ListAgeMs *int64 `json:"listage,omitempty"`
	// ListDigest is the digest of the sender's endpoint list. ListDigestAgeMs is the time in ms since the store last
	// confirmed to the sender that it knows all changes of the list. It is nil if the sender has no list.
	ListDigest      uint64 `json:"listsum,omitempty"`
	ListDigestAgeMs *int64 `json:"listsumage,omitempty"`
	// PeerAddresses holds the addresses of some gateways that the sender knows. Domain, the failure domain of the sender, is
	// sent with them.
	PeerAddresses []string `json:"known,omitempty"`
	Domain        string   `json:"domain,omitempty"`
	// Stopping is set if the sender takes no new callers because it is about to end.
	Stopping bool `json:"stop,omitempty"`
}

// ConfigReport returns what the message says of the sender's configuration.
func (m Message) ConfigReport() tracker.Report {
	r := tracker.Report{Version: m.ConfigVersion, Age: time.Duration(m.ConfigAgeMs) * time.Millisecond}
	if m.ConfigEras != nil {
		r.ErasKnown, r.ReadEra, r.ConfirmedEra = true, m.ConfigEras.Read, m.ConfigEras.Confirmed
	}
	return r
}

// WithConfigReport returns the message with what the sender says of its configuration.
func (m Message) WithConfigReport(r tracker.Report) Message {
	m.ConfigVersion, m.ConfigAgeMs = r.Version, r.Age.Milliseconds()
	if r.ErasKnown {
		m.ConfigEras = &ConfigEras{Read: r.ReadEra, Confirmed: r.ConfirmedEra}
	}
	return m
}

// encode returns the message as a JSON-RPC notification. It fails if the message is larger than maxMessageBytes.
func (m Message) encode() ([]byte, error) {
	b, err := encodeNotification(stateMethod, m)
	if err == nil && len(b) > maxMessageBytes {
		return nil, errors.Errorf("state message of %d bytes does not fit into a datagram", len(b))
	}
	return b, err
}

// packet is what a gateway has sent: a message, a question or an answer. The others are nil.
type packet struct {
	message  *Message
	question *question
	answer   *answer
}

// decode parses a JSON-RPC notification. It fails if the method is unknown or if the parameters fail their check.
func decode(b []byte) (packet, error) {
	var r jsonrpc2.Request
	if err := json.Unmarshal(b, &r); err != nil {
		return packet{}, errors.Wrap(err, "decode notification")
	}
	if r.Params == nil {
		return packet{}, errors.Errorf("method %q without parameters", r.Method)
	}
	var d packet
	var err error
	switch r.Method {
	case stateMethod:
		d.message, err = decodeParams[Message](*r.Params)
	case questionMethod:
		d.question, err = decodeParams[question](*r.Params)
	case answerMethod:
		d.answer, err = decodeParams[answer](*r.Params)
	default:
		err = errors.Errorf("unknown method %q", r.Method)
	}
	return d, errors.Wrapf(err, "decode %q", r.Method)
}

// decodeParams parses and checks the parameters of a notification.
func decodeParams[T interface{ check() error }](b json.RawMessage) (*T, error) {
	params := new(T)
	if err := json.Unmarshal(b, params); err != nil {
		return nil, err
	}
	if err := (*params).check(); err != nil {
		return nil, err
	}
	return params, nil
}
