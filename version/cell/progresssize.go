package cell

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxPlainProgressBytes is the size from which progress is compressed. Smaller progress can be read by earlier programs.
	maxPlainProgressBytes = 16 << 10
	// maxProgressBytes is the size of progress that fits into a row of the store.
	maxProgressBytes = 60_000
	// maxDecodedProgressBytes limits the memory for progress that is read.
	maxDecodedProgressBytes = 16 << 20
)

// gzipMagic begins compressed progress. JSON never begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// compressProgress compresses encoded progress that is large: the names of workers and the numbers of runs repeat.
func compressProgress(data []byte) []byte {
	if len(data) <= maxPlainProgressBytes {
		return data
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// decodeProgress decodes a progress row.
func decodeProgress(data []byte) (*progressRow, error) {
	if bytes.HasPrefix(data, gzipMagic) {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, errors.Wrap(err, "decompress progress")
		}
		data, err = io.ReadAll(io.LimitReader(r, maxDecodedProgressBytes))
		if err != nil {
			return nil, errors.Wrap(err, "decompress progress")
		}
	}
	row := &progressRow{}
	if err := json.Unmarshal(data, row); err != nil {
		return nil, err
	}
	return row, nil
}
