package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Canonical returns a copy of the configuration with jobs, teams and shapes sorted
// by name and the routes of each job by path prefix.
func Canonical(configuration *apiv1.Configuration) *apiv1.Configuration {
	canonical := proto.CloneOf(configuration)
	if canonical == nil {
		canonical = &apiv1.Configuration{}
	}
	sortByName(canonical.Jobs)
	sortByName(canonical.Teams)
	sortByName(canonical.Shapes)
	for _, job := range canonical.GetJobs() {
		slices.SortStableFunc(job.GetRoutes(), func(a, b *apiv1.Route) int {
			return cmp.Compare(a.GetPathPrefix(), b.GetPathPrefix())
		})
	}
	return canonical
}

// Digest returns the hexadecimal SHA-256 of the configuration's canonical form.
// Configurations that differ only in order have the same digest.
func Digest(configuration *apiv1.Configuration) (string, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(Canonical(configuration))
	if err != nil {
		return "", errors.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:]), nil
}

type named interface {
	GetName() string
}

func sortByName[T named](items []T) {
	slices.SortStableFunc(items, func(a, b T) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
}
