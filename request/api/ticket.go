package api

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// FormatTicket returns a ticket in the format of HeaderTicket.
func FormatTicket(t model.StartToken) string {
	return fmt.Sprintf("%d-%d-%d", t.Partition, t.Epoch, t.Sequence)
}

// ParseTicket parses the format of HeaderTicket. An empty text is the zero ticket.
func ParseTicket(text string) (model.StartToken, error) {
	if text == "" {
		return model.StartToken{}, nil
	}
	parts := strings.Split(text, "-")
	if len(parts) == 3 {
		partition, err1 := strconv.ParseUint(parts[0], 10, 16)
		epoch, err2 := strconv.ParseUint(parts[1], 10, 64)
		sequence, err3 := strconv.ParseUint(parts[2], 10, 64)
		if err1 == nil && err2 == nil && err3 == nil && epoch > 0 && sequence > 0 {
			return model.StartToken{Partition: int(partition), Epoch: epoch, Sequence: sequence}, nil
		}
	}
	return model.StartToken{}, verdict.Invalid(HeaderTicket, "expected partition-epoch-sequence, got %q", text)
}
