// Package cellpb contains the generated protobuf types of the records in the store and of the messages between processes.
package cellpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative cell.proto
