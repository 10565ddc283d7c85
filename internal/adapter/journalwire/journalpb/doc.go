// Package journalpb holds the generated protobuf messages of stored journals.
package journalpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative journal.proto
