package quarantiner

import "time"

// Trial identifies one of the runs that a quarantined request may have, at one host
// alone.
type Trial struct {
	Digest Digest
	Term   uint32
	Number int // starts at 1
}

// Claim returns the trial that a quarantined request may claim now, and whether there
// is one. EndClaim must be called for it.
func (q *Quarantiner) Claim(now time.Duration, d Digest) (Trial, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[d]
	if r == nil || !r.quarantined() || r.claiming || r.running {
		return Trial{}, false
	}
	if r.trials >= len(trialDelays) || now-r.quarantinedAt < trialDelays[r.trials] {
		return Trial{}, false
	}
	r.claiming = true
	return Trial{Digest: d, Term: r.term, Number: r.trials + 1}, true
}

// EndClaim records whether a claim was granted to this host. If the outcome is not
// known the trial counts as used, at another host. It returns the verdict on the request
// that claimed it.
func (q *Quarantiner) EndClaim(trial Trial, granted bool) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[trial.Digest]
	if r == nil {
		return Quarantined
	}
	r.claiming = false
	if r.term != trial.Term {
		return Quarantined
	}
	r.trials = max(r.trials, trial.Number)
	if !granted || r.running {
		return Quarantined
	}
	r.running = true
	return Alone
}

// UseTrial records that a trial was used at some host.
func (q *Quarantiner) UseTrial(trial Trial) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[trial.Digest]; r != nil && r.term == trial.Term {
		r.trials = max(r.trials, trial.Number)
	}
}

// RetryAfter returns the time after which a quarantined request may get a trial, or a
// long time if it gets none.
func (q *Quarantiner) RetryAfter(now time.Duration, d Digest) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[d]
	if r == nil || r.trials >= len(trialDelays) {
		return noTrialInterval
	}
	return max(0, r.quarantinedAt+trialDelays[r.trials]-now)
}
