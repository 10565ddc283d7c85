// Package peerpb holds the generated protobuf messages of the protocol between processes.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
