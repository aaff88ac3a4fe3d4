package ctl

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/table"
)

// readSheet reads the edits of a sheet from a CSV file, or from standard input for "-".
func (a *app) readSheet(sheet, path string, f *changeFlags) ([]*marbleroadv1.RowEdit, error) {
	in := a.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "read sheet")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	s, err := table.Lookup(table.SheetName(sheet))
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return parseSheet(s, in, f.force)
}

// parseSheet parses a sheet in CSV. It reports all validation errors at once, each with
// its line and column.
func parseSheet(s *table.Sheet, in io.Reader, force bool) ([]*marbleroadv1.RowEdit, error) {
	r := csv.NewReader(in)
	r.Comment = '#'
	r.TrimLeadingSpace = true
	header, err := r.Read()
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read the header line"), errInvalid)
	}
	var problems []string
	problems = append(problems, checkHeader(s, header)...)
	var edits []*marbleroadv1.RowEdit
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			problems = append(problems, err.Error())
			break
		}
		line, _ := r.FieldPos(0)
		edit, recordProblems := parseRecord(s, header, record, line, force)
		problems = append(problems, recordProblems...)
		edits = append(edits, edit)
	}
	if len(problems) > 0 {
		return nil, errors.Mark(errors.Newf("%s", strings.Join(problems, "\n")), errInvalid)
	}
	return edits, nil
}

// checkHeader returns the validation errors of the header line.
func checkHeader(s *table.Sheet, header []string) []string {
	var problems []string
	hasName := false
	for _, column := range header {
		switch {
		case column == nameColumn:
			hasName = true
		case column == versionColumn:
		case !hasColumn(s, column):
			problems = append(problems, fmt.Sprintf("line 1, column %s: sheet %s has no such column", column, s.Name))
		}
	}
	if !hasName {
		problems = append(problems, "line 1: the column \"name\" is missing")
	}
	return problems
}

func hasColumn(s *table.Sheet, name string) bool {
	for _, c := range s.Columns {
		if c.Name == name {
			return true
		}
	}
	return false
}

// parseRecord parses one record of a CSV file into an edit and returns it with its
// validation errors. If the file has no version column, the edit overwrites the stored row
// whatever its version.
func parseRecord(s *table.Sheet, header, record []string, line int, force bool) (*marbleroadv1.RowEdit, []string) {
	edit := &marbleroadv1.RowEdit{Sheet: string(s.Name), Force: force || !contains(header, versionColumn)}
	row := s.NewRow("") // only validates the cells; the edit holds their text
	var problems []string
	report := func(column string, err error) {
		problems = append(problems, fmt.Sprintf("line %d, column %s: %v", line, column, err))
	}
	for i, column := range header {
		text := record[i]
		switch {
		case column == nameColumn:
			edit.Name = text
			if err := table.CheckName(text); err != nil {
				report(column, err)
			}
		case column == versionColumn:
			version, err := parseVersion(text)
			if err != nil {
				report(column, err)
			}
			edit.BaseVersion = version
		case hasColumn(s, column):
			if err := s.Set(row, column, text); err != nil {
				report(column, errors.UnwrapAll(err))
				// Replaces the reported text, since the error already names the column.
				problems[len(problems)-1] = fmt.Sprintf("line %d, %v", line, err)
			}
			edit.Cells = append(edit.Cells, &marbleroadv1.Cell{Column: column, Text: text})
		}
	}
	return edit, problems
}

// parseVersion parses a row's version; an empty text, which is a new row, is 0.
func parseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("%q is not a version", text)
	}
	return v, nil
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}
