// Package capacity measures the costs per unit behind docs/CAPACITY.md: bytes of state for each object, bytes of each
// message, and processor time of each recurring exchange. Run it with "go test -run '^$' -bench . ./bench/capacity".
package capacity
