package table

import "github.com/cockroachdb/errors"

// ErrReference means that a row names another row that is not there.
var ErrReference = errors.New("reference to a row that is not there")

// ErrDuplicateKey means that two teams have the same key.
var ErrDuplicateKey = errors.New("two teams with the same key")

// CheckReferences checks what the row says of others, against the table by
// store key as it will stand after the change.
func CheckReferences(r *Row, after map[string]*Row) error {
	switch {
	case r.Group != nil:
		service := after[Key(Services, r.Group.Service)]
		if service == nil || service.Service.Kind != Model {
			return errors.Wrapf(ErrReference, "column service: no model service %q", r.Group.Service)
		}
	case r.Limit != nil:
		if after[Key(Services, r.Limit.Service)] == nil {
			return errors.Wrapf(ErrReference, "column service: no service %q", r.Limit.Service)
		}
		if after[Key(Teams, r.Limit.Team)] == nil {
			return errors.Wrapf(ErrReference, "column team: no team %q", r.Limit.Team)
		}
	case r.Service != nil && r.Service.Kind == Plain && r.Service.Pool == "":
		return errors.Wrapf(ErrBadCell, "column pool: a plain service needs a pool")
	case r.Team != nil:
		return checkTeamKey(r, after)
	}
	return nil
}

func checkTeamKey(r *Row, after map[string]*Row) error {
	for _, other := range after {
		if other.Team != nil && other.Name != r.Name && other.Team.KeySHA256 == r.Team.KeySHA256 {
			return errors.Wrapf(ErrDuplicateKey, "column key_sha256: team %s has the same key", other.Name)
		}
	}
	return nil
}
