// Package journalpb holds the generated messages of a stored journal.
package journalpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative journal.proto
