package fleet

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// ShareFrom converts a message of the allocator to its wire form.
func ShareFrom(m allocator.Message) Share {
	return Share{
		Name: m.From.Name, Incarnation: m.From.Incarnation, Answer: m.IsReply,
		View:  m.Version,
		Asked: m.RequestedAt, Asker: m.RequesterIncarnation,
	}
}

// Message converts a message of the allocator from its wire form. name is that of the verified
// certificate; the name in the message is not believed.
func (s Share) Message(name string) allocator.Message {
	return allocator.Message{
		From: allocator.Member{Name: name, Incarnation: s.Incarnation}, IsReply: s.Answer,
		Version:     s.View,
		RequestedAt: s.Asked, RequesterIncarnation: s.Asker,
	}
}

// BlamesFrom converts crash records to their wire form.
func BlamesFrom(blames []quarantiner.CrashRecord) []Blame {
	var out []Blame
	for _, b := range blames {
		out = append(out, Blame{Fingerprint: uint64(b.Fingerprint), Endpoints: b.Endpoints, AgeMillis: b.Age.Milliseconds()})
	}
	return out
}

// LocalBlames converts crash records from their wire form.
func LocalBlames(blames []Blame) []quarantiner.CrashRecord {
	var out []quarantiner.CrashRecord
	for _, b := range blames {
		out = append(out, quarantiner.CrashRecord{
			Fingerprint: quarantiner.Fingerprint(b.Fingerprint), Endpoints: b.Endpoints, Age: time.Duration(b.AgeMillis) * time.Millisecond,
		})
	}
	return out
}
