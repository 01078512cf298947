package controller

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

const (
	maxSuspects          = 64                    // records of suspected requests in one gossip message, about 35 bytes each
	announcementInterval = 50 * time.Millisecond // between announcements of suspected requests
)

// suspectsChanged makes the loop handle changed records of suspected requests.
type suspectsChanged struct{}

func (suspectsChanged) apply(l *loop, now time.Duration) { l.handleSuspects(now) }

// notifySuspects tells the loop of changed records. If the inbox is full, the next tick
// handles them.
func (l *loop) notifySuspects() {
	select {
	case l.inbox <- suspectsChanged{}:
	default:
	}
}

// handleSuspects logs the changes of records of suspected requests, stores those of
// quarantines, and announces the important ones to the hosts that this host informs.
func (l *loop) handleSuspects(now time.Duration) {
	changes := l.controller.quarantine.TakeChanges()
	relay := len(changes) > 0 && l.gossiper.IsRelay(now)
	announce := false
	for _, c := range changes {
		logSuspect(c)
		l.storeChange(c)
		urgent := c.Crashes > 1 || c.WasQuarantined
		announce = announce || urgent && (relay || c.Cause != quarantiner.ByHost)
	}
	if announce {
		l.announceSuspects(now)
	}
}

func logSuspect(c quarantiner.Change) {
	message := "request cleared of suspicion"
	switch {
	case c.Quarantined:
		message = "request quarantined"
	case c.WasQuarantined:
		message = "quarantine of request ended"
	case c.Crashes > 0:
		message = "request suspected"
	}
	klog.InfoS(message, "digest", c.Digest, "route", c.Route, "crashes", c.Crashes, "term", c.Term, "cause", c.Cause)
}

// announceSuspects sends the records to all recipients of this host's gossip, at once
// or when the announcement interval is over.
func (l *loop) announceSuspects(now time.Duration) {
	if l.announcementDue {
		return
	}
	if wait := l.suspectsAnnouncedAt + announcementInterval - now; l.suspectsAnnouncedAt > 0 && wait > 0 {
		l.announcementDue = true
		time.AfterFunc(wait, func() { l.send(announcementTime{}) })
		return
	}
	l.suspectsAnnouncedAt = now
	for _, recipient := range l.gossiper.Recipients(now) {
		l.controller.sendDatagram(recipient.Control, encodeGossip(nil, l.announcement(now, recipient)))
	}
}

// announcementTime makes the loop send a delayed announcement.
type announcementTime struct{}

func (announcementTime) apply(l *loop, now time.Duration) {
	l.announcementDue = false
	l.announceSuspects(now)
}

// addSuspects adds the hash of this host's records to a message and, if the recipient's
// last message had another one, records.
func (l *loop) addSuspects(now time.Duration, m *peerv1.Greeting, recipient gossiper.Recipient) {
	m.SuspectsHash = l.controller.quarantine.Hash(now)
	m.Suspects = nil
	if m.SuspectsHash != l.peerSuspects[recipient.Name] {
		m.Suspects = messenger.EncodeSuspects(l.controller.quarantine.States(now, maxSuspects))
	}
}

// applySuspects merges the records of another host.
func (l *loop) applySuspects(now time.Duration, host string, m *peerv1.Greeting) {
	if m.GetSuspectsHash() == 0 {
		delete(l.peerSuspects, host)
	} else {
		l.peerSuspects[host] = m.GetSuspectsHash()
	}
	l.controller.quarantine.Merge(now, messenger.DecodeSuspects(m.GetSuspects()), quarantiner.ByHost)
}

// updateSuspects removes records that are no longer needed, and updates their gauges.
func (l *loop) updateSuspects(now time.Duration) {
	suspected, quarantined := l.controller.quarantine.Prune(now)
	scope := l.controller.recorder.Scope()
	scope.Gauge("requests_suspected").Update(float64(suspected))
	scope.Gauge("requests_quarantined").Update(float64(quarantined))
	for host := range l.peerSuspects {
		if _, known := slices.BinarySearch(l.hostNames, host); !known {
			delete(l.peerSuspects, host)
		}
	}
}
