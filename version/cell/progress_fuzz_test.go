package cell

import (
	"testing"

	"github.com/lentiltide/lentiltide/model/job"
)

// FuzzStoredRows guards against rows of the store that end the process of a new leader: progress, the record of the workers in use, and the
// record of a wave.
func FuzzStoredRows(f *testing.F) {
	f.Add([]byte(`{"t":{"0.0":{"d":"AQ=="},"1.0":{"a":true,"f":{"0":[1]},"c":{"1":[1,0,0]},"r":{"1":{"n":3,"w":"w1"}}}},"o":[[2,3]]}`))
	f.Add([]byte(`{"s":"completed"}`))
	f.Add([]byte(`{"workers":{"w1":"w1:1"},"long_leases":["w1"]}`))
	f.Add([]byte(`{"requested":["m1"],"settled":["m2"]}`))
	f.Add(compressProgress(append([]byte(`{"o":[[0,4]]}`), make([]byte, maxPlainProgressBytes)...)))
	f.Fuzz(func(t *testing.T, data []byte) {
		tc := newTestCluster(t, 2)
		r := record("plain", 1, stepWithTasks(2), stepWithTasks(1, dependsOn(0)))
		_ = tc.core.LoadJob("a", r, data, tc.now)
		r.Spec.Repetitions = 5
		_ = tc.core.LoadJob("b", r, data, tc.now)
		_, _ = StoredState(data)
		_ = tc.core.LoadFleetRecord(tc.now, data)
		for _, id := range []job.ID{"a", "b"} {
			_ = tc.core.AdoptCrashes(id, data, tc.now)
		}
		tc.storedWaves[1] = StoredWave{Record: data}
		tc.maintainWave(1, "m1", "m2")
		tc.addWorker("w9")
		tc.advance(200 * tick)
	})
}
