package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

const (
	quarantineWriteTimeout = 2 * time.Second
	quarantineCorrection   = 3 * time.Second // between corrections of the store by the hosts that watch it
)

// storedQuarantine is the content of a quarantine's object in the store. Its name is the
// digest of the request; deleting it ends the quarantine.
type storedQuarantine struct {
	Route   string   `json:"route"` // for operators
	Term    uint32   `json:"term"`
	Crashes []uint32 `json:"crashes"`
}

// storedTrial is the content of the object of a trial, which exists once it is claimed.
type storedTrial struct {
	Host string `json:"host"` // that claimed it
}

// trialName returns the name of a trial's object.
func trialName(t quarantiner.Trial) string {
	return fmt.Sprintf("%s-%d-trial-%d", t.Digest, t.Term, t.Number)
}

// parseTrialName reads a name in the form of trialName.
func parseTrialName(name string) (quarantiner.Trial, error) {
	var digest string
	var t quarantiner.Trial
	if _, err := fmt.Sscanf(name, "%16s-%d-trial-%d", &digest, &t.Term, &t.Number); err != nil {
		return quarantiner.Trial{}, errors.Wrapf(err, "reading trial name %q", name)
	}
	var err error
	t.Digest, err = quarantiner.ParseDigest(digest)
	return t, err
}

// ClaimTrial claims a trial of a quarantined request by creating its object in the
// store, which only one host can.
func (c *Controller) ClaimTrial(ctx context.Context, trial quarantiner.Trial) bool {
	content, err := json.Marshal(storedTrial{Host: c.settings.Host})
	if err == nil {
		err = c.platform.Create(ctx, c.platform.Kinds().Quarantines, trialName(trial), content)
	}
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		klog.InfoS("claiming trial failed", "digest", trial.Digest, "trial", trial.Number, "cause", err.Error())
	}
	return err == nil
}

// storeChange writes a quarantine to the store if this host saw one of the crashes, or
// deletes one that it ended.
func (l *loop) storeChange(c quarantiner.Change) {
	switch {
	case c.Quarantined && !c.WasQuarantined && c.Route != "" && c.Cause != quarantiner.ByStore:
		if entry, ok := l.controller.quarantine.Quarantine(0)[c.Digest]; ok {
			go l.controller.writeQuarantine(entry)
		}
	case c.WasQuarantined && !c.Quarantined && c.Cause == quarantiner.ByResponse:
		go l.controller.deleteQuarantine(l.objectsOf(c.Digest))
	}
}

// objectsOf returns the names of the objects of a quarantine, which exist in the store
// or soon may.
func (l *loop) objectsOf(d quarantiner.Digest) []string {
	names := []string{d.String()}
	for name := range l.caches[l.kinds.Quarantines].items {
		if trial, err := parseTrialName(name); err == nil && trial.Digest == d {
			names = append(names, name)
		}
	}
	return names
}

func (c *Controller) writeQuarantine(entry quarantiner.Entry) {
	content, err := json.Marshal(storedQuarantine{Route: entry.Route, Term: entry.Term, Crashes: entry.Crashes})
	if err != nil {
		klog.ErrorS(err, "encoding quarantine failed", "digest", entry.Digest)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantineWriteTimeout)
	defer cancel()
	err = c.platform.Create(ctx, c.platform.Kinds().Quarantines, entry.Digest.String(), content)
	if errors.Is(err, storer.ErrConflict) {
		return // another host wrote it
	}
	logStored("quarantine stored", entry.Digest.String(), err)
}

func (c *Controller) deleteQuarantine(names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineWriteTimeout)
	defer cancel()
	for _, name := range names {
		err := c.platform.Delete(ctx, c.platform.Kinds().Quarantines, name, 0)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		logStored("quarantine deleted from the store", name, err)
	}
}

func logStored(message, name string, err error) {
	if err != nil {
		klog.InfoS("writing quarantine failed", "object", name, "cause", err.Error())
		return
	}
	klog.InfoS(message, "object", name)
}

// applyQuarantines applies the quarantines and used trials in the store. A quarantine
// whose object was deleted has been ended by an operator or another host.
func (l *loop) applyQuarantines(now time.Duration) {
	stored := map[quarantiner.Digest]bool{}
	var states []quarantiner.State
	var trials []quarantiner.Trial
	for name, item := range l.caches[l.kinds.Quarantines].effective() {
		if trial, err := parseTrialName(name); err == nil {
			trials = append(trials, trial)
			continue
		}
		digest, content, err := decodeQuarantine(item)
		if err != nil {
			klog.InfoS("invalid quarantine ignored", "object", name, "cause", err.Error())
			continue
		}
		stored[digest] = true
		if !l.storedQuarantines[digest] {
			states = append(states, quarantiner.State{Digest: digest, Term: content.Term, Crashes: content.Crashes})
		}
	}
	l.controller.quarantine.Merge(now, states, quarantiner.ByStore)
	for _, trial := range trials {
		l.controller.quarantine.UseTrial(trial)
	}
	for digest := range l.storedQuarantines {
		if !stored[digest] {
			l.controller.quarantine.Release(now, digest)
		}
	}
	l.storedQuarantines = stored
}

func decodeQuarantine(item storer.Item) (quarantiner.Digest, storedQuarantine, error) {
	var content storedQuarantine
	digest, err := quarantiner.ParseDigest(item.Name())
	if err == nil {
		err = json.Unmarshal(item.Content(), &content)
	}
	return digest, content, errors.Wrapf(err, "decoding quarantine %q", item.Name())
}

// correctStoredQuarantines writes quarantines that the store lacks, and deletes those
// that have ended, with their trials: an earlier write may have failed, or a restore may
// have undone it.
func (l *loop) correctStoredQuarantines(now time.Duration) {
	cache := l.caches[l.kinds.Quarantines]
	if !l.watching || !cache.listed || cache.unreachable {
		return
	}
	present := l.controller.quarantine.Quarantine(now)
	for digest, entry := range present {
		if _, ok := cache.items[digest.String()]; !ok && entry.Since >= quarantineCorrection {
			go l.controller.writeQuarantine(entry)
		}
	}
	var ended []string
	for name := range cache.items {
		trial, err := parseTrialName(name)
		if err != nil {
			trial.Digest, err = quarantiner.ParseDigest(name)
		}
		if _, ok := present[trial.Digest]; err == nil && !ok {
			ended = append(ended, name)
		}
	}
	if len(ended) > 0 {
		go l.controller.deleteQuarantine(ended)
	}
}
