// Package cellpb holds the generated records of the store and messages between processes.
package cellpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative cell.proto
