package table

import "github.com/cockroachdb/errors"

// ErrReference means that a row refers to a row that does not exist.
var ErrReference = errors.New("reference to a row that is not there")

// ErrDuplicateKey means that two teams have the same key.
var ErrDuplicateKey = errors.New("two teams with the same key")

// CheckReferences checks the rules that a row's single cells can't show: that the rows it refers to
// exist, that a plain service has a pool, and that a team's key is unique. rows holds the table after
// the change by store key.
func CheckReferences(r *Row, rows map[string]*Row) error {
	switch {
	case r.Group != nil:
		service := rows[Key(Services, r.Group.Service)]
		if service == nil || service.Service.Kind != Model {
			return errors.Wrapf(ErrReference, "column service: no model service %q", r.Group.Service)
		}
	case r.Limit != nil:
		if rows[Key(Services, r.Limit.Service)] == nil {
			return errors.Wrapf(ErrReference, "column service: no service %q", r.Limit.Service)
		}
		if rows[Key(Teams, r.Limit.Team)] == nil {
			return errors.Wrapf(ErrReference, "column team: no team %q", r.Limit.Team)
		}
	case r.Service != nil && r.Service.Kind == Plain && r.Service.Pool == "":
		return errors.Wrapf(ErrInvalidCell, "column pool: a plain service needs a pool")
	case r.Team != nil:
		return checkTeamKey(r, rows)
	}
	return nil
}

// checkTeamKey checks that no other team has the row's key.
func checkTeamKey(r *Row, rows map[string]*Row) error {
	for _, other := range rows {
		if other.Team != nil && other.Name != r.Name && other.Team.KeySHA256 == r.Team.KeySHA256 {
			return errors.Wrapf(ErrDuplicateKey, "column key_sha256: team %s has the same key", other.Name)
		}
	}
	return nil
}
