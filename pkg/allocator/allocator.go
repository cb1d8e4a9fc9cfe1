// Package allocator decides which share of every account's limit a holder may use, so that the shares of
// all holders never sum above one, whatever fails, pauses or is cut off.
//
// It is demarcation over a versioned list of holders. Under a list each holder is entitled to a
// target share, and the targets of one list sum to one. A holder that learns of a newer list
// shrinks to the smaller of its shares at once. It grows to its new target only after every other listed
// holder has answered, in its present incarnation, that it applied that very list, and after those that were
// taken off the list have certainly stopped or noticed. Time alone is never an answer. A partition
// therefore only stops growth: each side goes on with what it holds.
package allocator

import (
	"slices"
	"time"
)

// View is one version of the list of holders.
type View struct {
	Version uint64
	// Members is sorted and without repetitions.
	Members []string
	// Domains holds the failure domain of each member, in the same order; empty when they do not matter.
	Domains []string
}

// Has tells whether the name is listed.
func (v View) Has(name string) bool {
	_, ok := slices.BinarySearch(v.Members, name)
	return ok
}

// Member is a holder with its incarnation.
type Member struct {
	Name        string
	Incarnation uint64
}

// Message is a question or an answer between holders. It names the sender's newest view only by its version, so
// that its size does not grow with the list; the list itself comes from the platform or by gossip.
type Message struct {
	From Member
	// IsReply is set on answers.
	IsReply bool
	// Version is that of the sender's newest view.
	Version uint64
	// RequestedAt is the asker's clock when it asked, echoed by the answer.
	RequestedAt time.Duration
	// RequesterIncarnation is the incarnation that asked, echoed by the answer.
	RequesterIncarnation uint64
}

// Options are the bounds of an allocator.
type Options struct {
	// MaxListLag is the longest time from the publication of a list without a holder until that holder's VM
	// has stopped or is paused.
	MaxListLag time.Duration
	// MaxUnnoticedPause is the longest pause that a holder may not notice.
	MaxUnnoticedPause time.Duration
}

// Allocator is the state of one holder. It is not safe for concurrent use.
type Allocator struct {
	self    Member
	options Options
	// views begins with the view under which the share was last grown, if any; the share is the least
	// target of all of them, and zero when the first is missing.
	views    []View
	hasShare bool
	// appliedAt is when the newest view was applied.
	appliedAt time.Duration
	// repliedMembers holds the others that answered for the newest view, to a question asked after it was applied.
	repliedMembers map[string]bool
	// pauseDetectedAt is when the latest pause was noticed; only later questions and reads count.
	pauseDetectedAt time.Duration
	// listReadAt is when the latest read of the platform's list began.
	listReadAt    time.Duration
	lastCheckAt   time.Duration
	lastWallClock time.Duration
	hasChecked    bool
	// generation rises whenever shares may have changed.
	generation uint64
}

// New returns a holder without any share.
func New(self Member, o Options) *Allocator {
	return &Allocator{self: self, options: o, repliedMembers: make(map[string]bool)}
}

// Generation rises whenever shares may have changed.
func (a *Allocator) Generation() uint64 {
	return a.generation
}

// View returns the newest view.
func (a *Allocator) View() View {
	if len(a.views) == 0 {
		return View{}
	}
	return a.views[len(a.views)-1]
}

// PendingMembers lists the other holders that have not answered for the newest view; none once the share has grown.
func (a *Allocator) PendingMembers() []string {
	if a.HasFullShare() {
		return nil
	}
	var out []string
	for _, name := range a.View().Members {
		if name != a.self.Name && !a.repliedMembers[name] {
			out = append(out, name)
		}
	}
	return out
}

// HasFullShare tells whether the holder uses its whole target under the newest view.
func (a *Allocator) HasFullShare() bool {
	return a.hasShare && len(a.views) == 1
}

// Share returns the share of an account that target gives a member under a view, held safely.
func (a *Allocator) Share(target func(v View, self string) float64) float64 {
	if !a.hasShare || len(a.views) == 0 {
		return 0
	}
	share := 1.0
	for _, v := range a.views {
		if !v.Has(a.self.Name) {
			return 0
		}
		share = min(share, target(v, a.self.Name))
	}
	return share
}

// ApplyView takes in a view, from the platform or from another holder; an older one is ignored.
func (a *Allocator) ApplyView(v View, now time.Duration) {
	if v.Version <= a.View().Version {
		return
	}
	if a.HasFullShare() && slices.Equal(v.Members, a.View().Members) && slices.Equal(v.Domains, a.View().Domains) {
		// Whoever grew under a list in between needed an answer for it from here, and got none.
		a.views = []View{v}
		return
	}
	a.views = append(a.views, v)
	if !a.hasShare {
		a.views = a.views[len(a.views)-1:]
	}
	a.appliedAt = now
	clear(a.repliedMembers)
	a.generation++
	a.tryGrow(now)
}

// RecordListRead records that the platform's list was read: asked is when the read began.
func (a *Allocator) RecordListRead(startedAt, now time.Duration) {
	a.listReadAt = max(a.listReadAt, startedAt)
	a.tryGrow(now)
}

// DetectPause notices pauses. It must be called right before each use of a share and at least every half of the
// Pause option: a longer gap of either clock means that the process was suspended. Others may have
// taken its share over since, so it begins again without any, as a new process would, and grows only
// after the list was read so late that it can not hide that the VM was taken off meanwhile.
func (a *Allocator) DetectPause(now, wallClock time.Duration) {
	monotonicGap := now - a.lastCheckAt
	wallGap := wallClock - a.lastWallClock
	paused := a.hasChecked && (monotonicGap > a.options.MaxUnnoticedPause || wallGap > a.options.MaxUnnoticedPause || wallGap < -a.options.MaxUnnoticedPause)
	a.hasChecked = true
	a.lastCheckAt, a.lastWallClock = now, wallClock
	if !paused {
		return
	}
	a.pauseDetectedAt = now
	a.hasShare = false
	a.views = a.views[max(0, len(a.views)-1):]
	clear(a.repliedMembers)
	a.generation++
}

// Query returns the message that asks other holders for their state.
func (a *Allocator) Query(now time.Duration) Message {
	return a.newMessage(now)
}

// HandleMessage takes in a message; for a question it returns the answer to send back.
func (a *Allocator) HandleMessage(m Message, now time.Duration) (reply Message, hasReply bool) {
	if !m.IsReply {
		reply = a.newMessage(now)
		reply.IsReply = true
		reply.RequestedAt, reply.RequesterIncarnation = m.RequestedAt, m.From.Incarnation
		return reply, true
	}
	if m.RequesterIncarnation != a.self.Incarnation || m.RequestedAt > now {
		return Message{}, false
	}
	a.recordReply(m)
	a.tryGrow(now)
	return Message{}, false
}

// Tick grows the share when only time was missing.
func (a *Allocator) Tick(now time.Duration) {
	a.tryGrow(now)
}

func (a *Allocator) newMessage(now time.Duration) Message {
	return Message{From: a.self, Version: a.View().Version, RequestedAt: now}
}

// recordReply keeps a direct answer to a question that was asked after the present view was applied.
func (a *Allocator) recordReply(m Message) {
	if m.Version != a.View().Version || m.RequestedAt < max(a.appliedAt, a.pauseDetectedAt) {
		return
	}
	a.repliedMembers[m.From.Name] = true
}

// tryGrow uses the whole target once every other holder has answered for the newest view, those that were
// taken off the list are certainly out, and the list was read again so late that it can not hide a
// newer view that was there when this one was applied.
func (a *Allocator) tryGrow(now time.Duration) {
	v := a.View()
	if a.HasFullShare() || !v.Has(a.self.Name) {
		return
	}
	since := max(a.appliedAt, a.pauseDetectedAt)
	if a.listReadAt < since+a.options.MaxListLag || now < since+a.options.MaxListLag+a.options.MaxUnnoticedPause {
		return
	}
	for _, name := range v.Members {
		if name != a.self.Name && !a.repliedMembers[name] {
			return
		}
	}
	a.views = []View{v}
	a.hasShare = true
	a.generation++
}
