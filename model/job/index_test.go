package job

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// randomConfig returns a configuration whose hosts, prefixes and names collide often.
func randomConfig(r *rand.Rand, queues int) Config {
	cfg := Config{Version: 1}
	for i := range queues {
		cfg.Queues = append(cfg.Queues, Queue{
			Name: fmt.Sprint("q", r.IntN(queues)), Host: []string{"a.example", "A.example", "b.example"}[r.IntN(3)],
			Prefix: []string{"/", "/x/", "/x/y/", "/z/"}[r.IntN(4)], Priority: i,
		})
	}
	return cfg
}

// Guards against an index that finds other queues than a look at each one: another case of the host, equal prefixes, equal names.
func TestIndexFindsTheSameQueues(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		plain := randomConfig(r, 1+r.IntN(12))
		indexed := plain
		indexed.BuildIndex()
		for _, host := range []string{"a.example", "A.Example", "b.example", "c.example", ""} {
			for _, path := range []string{"/", "/x/1", "/x/y/1", "/z", "/z/1", ""} {
				want, wantFound := plain.Match(host, path)
				got, found := indexed.Match(host, path)
				assert.Equal(t, found, wantFound)
				assert.DeepEqual(t, got, want)
			}
		}
		for i := range 14 {
			want, wantFound := plain.Queue(fmt.Sprint("q", i))
			got, found := indexed.Queue(fmt.Sprint("q", i))
			assert.Equal(t, found, wantFound)
			assert.DeepEqual(t, got, want)
		}
	}
}
