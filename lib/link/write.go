package link

import "net"

// joinLimit is the size in bytes up to which WriteAll joins the parts of a message in
// one buffer.
const joinLimit = 16 << 10

// WriteAll writes head and body to c. A small body is sent in one write with the head;
// a large one is not copied.
func WriteAll(c net.Conn, head, body []byte) error {
	if len(body) <= joinLimit {
		head, body = append(head, body...), nil
	}
	if _, err := c.Write(head); err != nil || len(body) == 0 {
		return err
	}
	_, err := c.Write(body)
	return err
}
