package controller

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

// StoredQuarantine is a quarantine as operators see it in the store.
type StoredQuarantine struct {
	Digest quarantiner.Digest
	Route  string
	Trials int // used so far
}

// ListQuarantines returns the quarantines in the store, by digest. It returns the
// errors of the store.
func ListQuarantines(ctx context.Context, platform Platform) ([]StoredQuarantine, error) {
	objects, err := platform.List(ctx, platform.Kinds().Quarantines)
	if err != nil {
		return nil, err
	}
	trials := map[quarantiner.Digest]int{}
	var quarantines []StoredQuarantine
	for _, item := range objects.Items() {
		if trial, err := parseTrialName(item.Name()); err == nil {
			trials[trial.Digest]++
			continue
		}
		digest, content, err := decodeQuarantine(item)
		if err != nil {
			continue // hosts ignore it as well, and log that
		}
		quarantines = append(quarantines, StoredQuarantine{Digest: digest, Route: content.Route})
	}
	for i := range quarantines {
		quarantines[i].Trials = trials[quarantines[i].Digest]
	}
	slices.SortFunc(quarantines, func(a, b StoredQuarantine) int { return cmp.Compare(a.Digest, b.Digest) })
	return quarantines, nil
}

// ReleaseQuarantine ends a quarantine on all hosts, with its trials. It returns
// storer.ErrNotFound if there is none, and the errors of the store.
func ReleaseQuarantine(ctx context.Context, platform Platform, d quarantiner.Digest) error {
	kind := platform.Kinds().Quarantines
	objects, err := platform.List(ctx, kind)
	if err != nil {
		return err
	}
	if err := platform.Delete(ctx, kind, d.String(), 0); err != nil {
		return errors.Wrapf(err, "releasing %s", d)
	}
	for _, item := range objects.Items() {
		trial, err := parseTrialName(item.Name())
		if err != nil || trial.Digest != d {
			continue
		}
		if err := platform.Delete(ctx, kind, item.Name(), 0); err != nil && !errors.Is(err, storer.ErrNotFound) {
			return errors.Wrapf(err, "releasing %s", d)
		}
	}
	return nil
}
