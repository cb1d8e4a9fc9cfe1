package fleet

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// EncodeShareMessage converts a message of the allocator, which divides account limits among gateways, to its wire
// form.
func EncodeShareMessage(m allocator.Message) ShareMessage {
	return ShareMessage{
		Name: m.From.Name, Incarnation: m.From.Incarnation, IsReply: m.IsReply,
		ViewVersion: m.Version,
		RequestedAt: m.RequestedAt, RequesterIncarnation: m.RequesterIncarnation,
	}
}

// Decode converts a message of the allocator from its wire form. name is the sender's name from its verified
// certificate; the name in the message is ignored, because a peer could write any name there.
func (s ShareMessage) Decode(name string) allocator.Message {
	return allocator.Message{
		From: allocator.Member{Name: name, Incarnation: s.Incarnation}, IsReply: s.IsReply,
		Version:     s.ViewVersion,
		RequestedAt: s.RequestedAt, RequesterIncarnation: s.RequesterIncarnation,
	}
}

// EncodeCrashRecords converts crash records to their wire form. Ages are rounded down to milliseconds.
func EncodeCrashRecords(records []quarantiner.CrashRecord) []CrashRecord {
	var out []CrashRecord
	for _, r := range records {
		out = append(out, CrashRecord{
			Fingerprint: uint64(r.Fingerprint), Endpoints: r.Endpoints, AgeMillis: r.Age.Milliseconds(),
		})
	}
	return out
}

// DecodeCrashRecords converts crash records from their wire form.
func DecodeCrashRecords(records []CrashRecord) []quarantiner.CrashRecord {
	var out []quarantiner.CrashRecord
	for _, r := range records {
		out = append(out, quarantiner.CrashRecord{
			Fingerprint: quarantiner.Fingerprint(r.Fingerprint), Endpoints: r.Endpoints,
			Age: time.Duration(r.AgeMillis) * time.Millisecond,
		})
	}
	return out
}
