// Package peerpb holds the generated messages between processes.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
