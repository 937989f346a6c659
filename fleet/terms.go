package fleet

// An owner must have stopped before the next one begins, though neither sees the other's clock. Both count in spans of
// their own monotonic clock: the owner from before its renewal went out and less than the whole term, the leader from
// when the renewal stood in the record and more than the whole. A clock may be off by up to a tenth of its rate for
// that: 0.8 of a term by a clock that is a tenth slow are 0.89, 1.2 by one that is a tenth fast are 1.09.
const (
	ownerTermFraction  = 0.8
	leaderTermFraction = 1.2

	urgentRenewalGapMs = 50.0 // ms between renewals at the least
)

// Hold is an owner's own knowledge of a matter that it has.
type Hold struct {
	Fence          uint64
	TermMs         float64
	heldUntil      float64
	renewalSentAt  float64 // when the renewal that is under way went out
	renewalPending bool
}

// Held begins a hold by a claim that went out at asked and was carried out.
func Held(sentAt float64, fence uint64, termMs float64) *Hold {
	return &Hold{Fence: fence, TermMs: termMs, heldUntil: sentAt + ownerTermFraction*termMs, renewalSentAt: sentAt}
}

// Holds tells whether the owner may act now. It is asked before each action, and after each wait.
func (h *Hold) Holds(now float64) bool { return h != nil && now < h.heldUntil }

// Until is when it has to stop.
func (h *Hold) Until() float64 { return h.heldUntil }

// NextRenewal decides whether to renew now: three times in a term, so that one lost call is none, or soon where something
// waits for what goes with it.
func (h *Hold) NextRenewal(now float64, urgent bool) bool {
	if h.renewalPending || now < h.renewalSentAt+h.TermMs/4 && !(urgent && now >= h.renewalSentAt+urgentRenewalGapMs) {
		return false
	}
	h.renewalPending, h.renewalSentAt = true, now
	return true
}

// Renewed tells what came of the renewal: it holds from when it was asked for, whenever the answer came.
func (h *Hold) Renewed(done bool) {
	if h.renewalPending = false; done {
		h.heldUntil = max(h.heldUntil, h.renewalSentAt+ownerTermFraction*h.TermMs)
	}
}

// Whole marks a renewal whose owner has looked at all members of its zone.
const Whole = "whole"

// Keeper is the leader's knowledge of how old each claim is. It counts only what it saw itself as leader: a new one
// waits for a whole term, as it can't know when its predecessor last let an owner renew.
type Keeper struct {
	isLeader     bool
	leaderSince  float64
	appliedAt    map[string]float64
	fullReportAt map[string]float64 // when each zone's owner last renewed, and with it reported
	Hurry        bool               // a bug planted by a test of what finds it: a new leader does not wait
}

// Leads tells that this process leads from now on.
func (k *Keeper) Leads(now float64) {
	*k = Keeper{isLeader: true, leaderSince: now, appliedAt: map[string]float64{}, fullReportAt: map[string]float64{}, Hurry: k.Hurry}
}

// Follows tells that it does not lead any more.
func (k *Keeper) Follows() { *k = Keeper{Hurry: k.Hurry} }

// Applied takes that a claim or renewal of a matter was carried out.
func (k *Keeper) Applied(now float64, c *Command) {
	if k.isLeader {
		if k.appliedAt[c.Matter] = now; c.Do == "renew" && c.To == Whole {
			k.fullReportAt[c.Matter] = now
		}
	}
}

// fresh is why what stands on record of a zone's members may be old, "" where it was reported on within a term.
func (k *Keeper) staleReportReason(now float64, r *Record, zone string) string {
	lease := r.Matters[MatterOf(zone)]
	if at, reported := k.fullReportAt[MatterOf(zone)]; !reported || now > at+lease.TermMs {
		return "nobody has reported on zone " + zone + " lately"
	}
	return ""
}

// Over decides whether the term of a matter's owner is over, so that another's claim may go on the record.
func (k *Keeper) OwnerTermExpired(now float64, matter string, lease Lease) bool {
	if !k.isLeader {
		return false
	}
	if _, applied := k.appliedAt[matter]; lease.Owner == "" || k.Hurry && !applied {
		return true
	}
	return now >= max(k.leaderSince, k.appliedAt[matter])+leaderTermFraction*lease.TermMs
}

// MayPropose decides whether the leader takes a command at all: a claim of a matter that another still has is refused
// with the reason, all else is the record's to judge.
func (k *Keeper) MayPropose(now float64, r *Record, c *Command) string {
	if c.Do == "step" && c.To == Granted || c.Do == "out" && r.Members[c.ID].Kind == "worker" && !c.Force {
		for _, zone := range r.zonesCountedWith(c.ID) {
			if why := k.staleReportReason(now, r, zone); why != "" {
				return why
			}
		}
	}
	if c.Do != "claim" {
		return ""
	}
	if lease := r.Matters[c.Matter]; lease.Owner != "" && !k.OwnerTermExpired(now, c.Matter, lease) {
		return "the term of " + lease.Owner + " is not over"
	}
	return ""
}
