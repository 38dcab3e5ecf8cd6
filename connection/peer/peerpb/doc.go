// Package peerpb holds the generated protobuf messages between entry instances. peer.proto is the source; run
// "go generate ./connection/peer/peerpb" after a change, which needs protoc and the protoc-gen-go tool of go.mod.
package peerpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative peer.proto"
