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
		endpoints, age := r.Uncleared()
		w := CrashRecord{Fingerprint: uint64(r.Fingerprint), Endpoints: endpoints, AgeMillis: age.Milliseconds()}
		for _, c := range r.Crashes {
			w.Crashes = append(w.Crashes, Crash{Endpoint: c.Endpoint, AgeMillis: c.Age.Milliseconds(), Cleared: c.Cleared})
		}
		out = append(out, w)
	}
	return out
}

// DecodeCrashRecords converts crash records from their wire form. A negative age counts as zero.
func DecodeCrashRecords(records []CrashRecord) []quarantiner.CrashRecord {
	var out []quarantiner.CrashRecord
	for _, w := range records {
		r := quarantiner.NewCrashRecord(quarantiner.Fingerprint(w.Fingerprint), w.Endpoints, ageOf(w.AgeMillis))
		if len(w.Crashes) > 0 {
			r.Crashes = nil
		}
		for _, c := range w.Crashes {
			r.Crashes = append(r.Crashes, quarantiner.Crash{Endpoint: c.Endpoint, Age: ageOf(c.AgeMillis), Cleared: c.Cleared})
		}
		out = append(out, r)
	}
	return out
}

// ageOf returns an age in milliseconds as a duration, and zero for a negative one.
func ageOf(millis int64) time.Duration {
	return time.Duration(max(0, millis)) * time.Millisecond
}
