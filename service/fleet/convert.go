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
		w := CrashRecord{Fingerprint: uint64(r.Fingerprint)}
		for _, c := range r.Crashes {
			age := c.Age.Milliseconds()
			w.Crashes = append(w.Crashes, Crash{Endpoint: c.Endpoint, AgeMillis: age, Cleared: c.Cleared})
			if c.Cleared {
				continue
			}
			if len(w.Endpoints) == 0 || age < w.AgeMillis {
				w.AgeMillis = age
			}
			w.Endpoints = append(w.Endpoints, c.Endpoint)
		}
		out = append(out, w)
	}
	return out
}

// DecodeCrashRecords converts crash records from their wire form. A negative age counts as zero.
func DecodeCrashRecords(records []CrashRecord) []quarantiner.CrashRecord {
	var out []quarantiner.CrashRecord
	for _, w := range records {
		crashes := w.Crashes
		if len(crashes) == 0 {
			for _, e := range w.Endpoints {
				crashes = append(crashes, Crash{Endpoint: e, AgeMillis: w.AgeMillis})
			}
		}
		r := quarantiner.CrashRecord{Fingerprint: quarantiner.Fingerprint(w.Fingerprint)}
		for _, c := range crashes {
			r.Crashes = append(r.Crashes, quarantiner.Crash{
				Endpoint: c.Endpoint, Age: time.Duration(max(0, c.AgeMillis)) * time.Millisecond, Cleared: c.Cleared,
			})
		}
		out = append(out, r)
	}
	return out
}
