package fleet

// The owner of a lease must have stopped before the next one begins, although neither knows the other's clock. Each side
// measures a duration on its own monotonic clock: the owner less than the term, from before it sent its last renewal; the
// quorum's leader more than the term, from when it applied that renewal. This tolerates clocks whose rate is off by up to a
// tenth: 0.8 terms on a clock that is a tenth slow take 0.89 terms, and 1.2 terms on one that is a tenth fast take 1.09.
const (
	ownerTermFraction  = 0.8
	leaderTermFraction = 1.2

	urgentRenewalGapMs = 50.0 // least time between two renewals
)

// HeldLease is a lease from the view of its owner.
type HeldLease struct {
	Fence          uint64
	TermMs         float64
	heldUntil      float64
	renewalSentAt  float64 // when the last renewal, or before that the claim, was sent
	renewalPending bool    // a renewal is under way
}

// NewHeldLease returns the HeldLease for a claim that was sent at sentAt and carried out.
func NewHeldLease(sentAt float64, fence uint64, termMs float64) *HeldLease {
	return &HeldLease{Fence: fence, TermMs: termMs, heldUntil: sentAt + ownerTermFraction*termMs, renewalSentAt: sentAt}
}

// Valid reports whether the owner may act now. It has to be checked before each action, and again after each wait.
func (h *HeldLease) Valid(now float64) bool { return h != nil && now < h.heldUntil }

// ValidUntil returns when the owner has to stop, unless a renewal is carried out before.
func (h *HeldLease) ValidUntil() float64 { return h.heldUntil }

// NextRenewal reports whether the owner has to send a renewal now, and assumes that it does. A renewal is due after each
// quarter of a term, so that the loss of one doesn't lose the lease; after urgentRenewalGapMs if it is urgent, because an
// operation waits for the health report that it carries.
func (h *HeldLease) NextRenewal(now float64, urgent bool) bool {
	if h.renewalPending || now < h.renewalSentAt+h.TermMs/4 && !(urgent && now >= h.renewalSentAt+urgentRenewalGapMs) {
		return false
	}
	h.renewalPending, h.renewalSentAt = true, now
	return true
}

// Renewed takes the result of the renewal under way. The lease is extended from when the renewal was sent, however late the
// answer came.
func (h *HeldLease) Renewed(done bool) {
	if h.renewalPending = false; done {
		h.heldUntil = max(h.heldUntil, h.renewalSentAt+ownerTermFraction*h.TermMs)
	}
}

// AllReported in Command.To marks a renewal by an owner that has called every scheduler since it got the zone's lease.
const AllReported = "whole"

// LeaseTerms measures, at the quorum's leader, the age of each lease. It only knows what was applied while this process was the
// leader. A new leader waits for a whole term before it lets a lease change owners, as it can't know when its predecessor
// last accepted a renewal.
type LeaseTerms struct {
	isLeader      bool
	leaderSince   float64
	appliedAt     map[string]float64 // by lease name: when the last claim or renewal was applied
	fullReportAt  map[string]float64 // by lease name: when the last renewal marked AllReported was applied
	NoInitialWait bool               // a fault that a test injects: a new leader does not wait
}

// BecomeLeader takes note that this process is the leader from now on.
func (t *LeaseTerms) BecomeLeader(now float64) {
	*t = LeaseTerms{isLeader: true, leaderSince: now, appliedAt: map[string]float64{}, fullReportAt: map[string]float64{}, NoInitialWait: t.NoInitialWait}
}

// StepDown takes note that this process is no longer the leader.
func (t *LeaseTerms) StepDown() { *t = LeaseTerms{NoInitialWait: t.NoInitialWait} }

// Applied takes note that a claim or renewal of a lease was carried out.
func (t *LeaseTerms) Applied(now float64, c *Command) {
	if t.isLeader {
		if t.appliedAt[c.Lease] = now; c.Verb == "renew" && c.To == AllReported {
			t.fullReportAt[c.Lease] = now
		}
	}
}

// staleReportReason returns why the health on record of a zone's members may be out of date, "" if the zone's owner reported
// on it within a term.
func (t *LeaseTerms) staleReportReason(now float64, r *Record, zone string) string {
	lease := r.Leases[ZoneLease(zone)]
	if at, reported := t.fullReportAt[ZoneLease(zone)]; !reported || now > at+lease.TermMs {
		return "the health of the members of zone " + zone + " was not fully reported within the term of its lease"
	}
	return ""
}

// OwnerTermExpired reports whether the term of a lease's owner has expired, so that another agent may claim the lease.
func (t *LeaseTerms) OwnerTermExpired(now float64, leaseName string, lease Lease) bool {
	if !t.isLeader {
		return false
	}
	if _, applied := t.appliedAt[leaseName]; lease.Owner == "" || t.NoInitialWait && !applied {
		return true
	}
	return now >= max(t.leaderSince, t.appliedAt[leaseName])+leaderTermFraction*lease.TermMs
}

// ProposalRefusal returns why the leader refuses a command before it is replicated, "" if it accepts it. It refuses a claim of a
// lease whose owner's term has not expired, and a command that takes a member out while the health that the limits count by
// may be out of date. These depend on the leader's clock; everything else is decided when the record applies the command.
func (t *LeaseTerms) ProposalRefusal(now float64, r *Record, c *Command) string {
	if c.Verb == "step" && c.To == StepGranted || c.Verb == "out" && r.Members[c.ID].Kind == "worker" && !c.Force {
		for _, zone := range r.zonesCountedWith(c.ID) {
			if why := t.staleReportReason(now, r, zone); why != "" {
				return why
			}
		}
	}
	if c.Verb != "claim" {
		return ""
	}
	if lease := r.Leases[c.Lease]; lease.Owner != "" && !t.OwnerTermExpired(now, c.Lease, lease) {
		return "the term of " + lease.Owner + " has not expired"
	}
	return ""
}
