// Package allocator decides which share of each account's limit a holder, such as a gateway, may use. The shares of all
// holders never sum to more than 1, whichever holders fail, pause or are disconnected.
//
// It uses the demarcation protocol over a versioned list of holders. Under each version, every holder is entitled to a
// target share, and the targets sum to at most 1. A holder that receives a newer version immediately shrinks to the
// smaller of its old and new target. It grows to its new target only after all other listed holders have replied to a
// query of its current incarnation that they applied the same version, and after all holders that were removed from the
// list have certainly stopped or detected their pause. A missing reply is never replaced by a timeout. During a network
// partition shares therefore do not grow, and each side continues with the shares that it has.
package allocator

import (
	"slices"
	"time"
)

// View is one version of the list of holders.
type View struct {
	// Version increases with each published list; zero means no list.
	Version uint64
	// Members holds the names of the holders, sorted and without duplicates.
	Members []string
	// Domains holds the failure domain of each member, in the same order. It is empty if failure domains are not used.
	Domains []string
}

// Has returns whether the name is listed.
func (v View) Has(name string) bool {
	_, ok := slices.BinarySearch(v.Members, name)
	return ok
}

// Member identifies an incarnation of a holder.
type Member struct {
	Name string
	// Incarnation differs between the processes that run under the same name one after another.
	Incarnation uint64
}

// Message is a query of one holder to another, or the reply. It contains only the version of the sender's newest view,
// so that its size does not depend on the length of the list. Holders get the list itself from the platform or by
// gossip.
type Message struct {
	// From is the sender.
	From Member
	// IsReply is true for a reply and false for a query.
	IsReply bool
	// Version is the version of the sender's newest view.
	Version uint64
	// RequestedAt is the time of the query on the clock of its sender. The reply repeats it.
	RequestedAt time.Duration
	// RequesterIncarnation is the incarnation of the sender of the query, in a reply.
	RequesterIncarnation uint64
}

// Options holds the time limits of an allocator. All holders must use the same limits, because each one relies on the
// limits of the others.
type Options struct {
	// MaxListLag is the longest time from the publication of a list without a holder until that holder's VM has stopped
	// or is paused. A read that begins at least MaxListLag after a publication must also return the published
	// list or a newer one.
	MaxListLag time.Duration
	// MaxUnnoticedPause is the longest pause of its process that a holder may fail to detect.
	MaxUnnoticedPause time.Duration
}

// Allocator decides the shares of one holder. It is not safe for concurrent use.
//
// All times are durations since an arbitrary fixed start of the holder's monotonic clock, except where a wall clock is
// mentioned.
type Allocator struct {
	self    Member
	options Options
	// views holds views in the order of their versions. While hasShare is set, the first one is the view to whose
	// target the share has grown, the others are the newer ones, and the share is the smallest target under any of
	// them. While hasShare is not set, views holds at most the newest view, and the share is zero.
	views []View
	// hasShare is set once the share has grown, until a pause is detected.
	hasShare bool
	// appliedAt is when the newest view was applied.
	appliedAt time.Duration
	// repliedMembers holds the names of the other holders that replied, to a query sent after the newest view was
	// applied, that they have the same view.
	repliedMembers map[string]bool
	// pauseDetectedAt is when the latest pause was detected. Replies to earlier queries and earlier reads of the list
	// do not count.
	pauseDetectedAt time.Duration
	// listReadAt is when the latest completed read of the platform's list began.
	listReadAt time.Duration
	// lastCheckAt and lastWallClock are the readings of the monotonic and the wall clock at the last call of
	// DetectPause, valid if hasChecked is set.
	lastCheckAt   time.Duration
	lastWallClock time.Duration
	hasChecked    bool
	// generation increases whenever shares may have changed.
	generation uint64
}

// New returns an allocator whose shares are zero.
func New(self Member, o Options) *Allocator {
	return &Allocator{self: self, options: o, repliedMembers: make(map[string]bool)}
}

// Generation returns a number that increases whenever shares may have changed.
func (a *Allocator) Generation() uint64 {
	return a.generation
}

// View returns the newest view, with version zero if there is none. The caller must not change it.
func (a *Allocator) View() View {
	if len(a.views) == 0 {
		return View{}
	}
	return a.views[len(a.views)-1]
}

// PendingMembers returns the names of the other holders that have not yet replied that they have the newest view. It
// returns none once the share has grown to the target under this view.
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

// HasFullShare returns whether the share has grown to the target under the newest view.
func (a *Allocator) HasFullShare() bool {
	return a.hasShare && len(a.views) == 1
}

// Share returns the share, from 0 to 1, that the holder may use now. target returns the share that a member is entitled
// to under a view; the shares of all members of one view must not sum to more than 1.
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

// ApplyView applies a view that was received from the platform or from another holder. A view that is not newer than
// the current one is ignored. The share shrinks at once if it must.
func (a *Allocator) ApplyView(v View, now time.Duration) {
	if v.Version <= a.View().Version {
		return
	}
	if a.HasFullShare() && slices.Equal(v.Members, a.View().Members) && slices.Equal(v.Domains, a.View().Domains) {
		// The version has changed but not the list, so the share stays. No holder can have grown under a version in
		// between, because that would have required a reply of this holder for that version.
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

// RecordListRead records that the platform's list was read successfully. startedAt is when the read began. The list
// that was read must be passed to ApplyView first.
func (a *Allocator) RecordListRead(startedAt, now time.Duration) {
	a.listReadAt = max(a.listReadAt, startedAt)
	a.tryGrow(now)
}

// DetectPause detects that the process was suspended, for example with its VM. It must be called immediately before
// each use of a share and at least every MaxUnnoticedPause/2. A gap of more than MaxUnnoticedPause between two calls,
// on the monotonic or the wall clock, counts as a pause, and so does a wall clock that was set back by as much.
//
// During a pause, other holders may have grown to shares that include that of this holder. After a pause the share is
// therefore zero, as in a new process. It grows again only after a read of the list that began at least MaxListLag
// after the pause was detected: such a read shows whether the VM was removed during the pause.
func (a *Allocator) DetectPause(now, wallClock time.Duration) {
	monotonicGap := now - a.lastCheckAt
	wallGap := wallClock - a.lastWallClock
	paused := a.hasChecked && (monotonicGap > a.options.MaxUnnoticedPause ||
		wallGap > a.options.MaxUnnoticedPause || wallGap < -a.options.MaxUnnoticedPause)
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

// Query returns a message that asks for the version of a holder's newest view. It must be sent to the other holders
// repeatedly until PendingMembers returns none.
func (a *Allocator) Query(now time.Duration) Message {
	return a.newMessage(now)
}

// HandleMessage handles a message from another holder. For a query it returns the reply to send back, and hasReply is
// true. A reply to a query of an earlier incarnation is ignored. The caller must have authenticated the sender.
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

// Tick grows the share if the conditions of tryGrow hold. It must be called regularly, because they depend on the time.
func (a *Allocator) Tick(now time.Duration) {
	a.tryGrow(now)
}

// newMessage returns a query with the version of the newest view.
func (a *Allocator) newMessage(now time.Duration) Message {
	return Message{From: a.self, Version: a.View().Version, RequestedAt: now}
}

// recordReply records a reply with the version of the newest view to a query that was sent after this view was applied
// and after the latest pause.
func (a *Allocator) recordReply(m Message) {
	if m.Version != a.View().Version || m.RequestedAt < max(a.appliedAt, a.pauseDetectedAt) {
		return
	}
	a.repliedMembers[m.From.Name] = true
}

// tryGrow grows the share to the target under the newest view if three conditions hold. All other holders have replied
// that they have this view. MaxListLag plus MaxUnnoticedPause have passed since this view was applied or a pause was
// detected, whichever is later, so that the holders that were removed from the list have certainly stopped or will
// detect their pause. A read of the list that began at least MaxListLag after that time has completed; it would have
// returned any newer view that existed then.
func (a *Allocator) tryGrow(now time.Duration) {
	v := a.View()
	if a.HasFullShare() || !v.Has(a.self.Name) {
		return
	}
	waitStart := max(a.appliedAt, a.pauseDetectedAt)
	if a.listReadAt < waitStart+a.options.MaxListLag || now < waitStart+a.options.MaxListLag+a.options.MaxUnnoticedPause {
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
