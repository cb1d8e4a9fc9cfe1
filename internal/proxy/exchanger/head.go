package exchanger

import (
	"bytes"
	"net/http"
	"strconv"
)

// writeHead writes the request line and the header. The target is written exactly as the caller sent it: net/http would
// encode it again and could change it. Content-Length is added if the body is not empty and for POST, PUT and PATCH.
func writeHead(b *bytes.Buffer, r *http.Request, bodyLen int) {
	target := r.RequestURI
	if target == "" {
		target = r.URL.RequestURI()
	}
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if bodyLen > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(bodyLen))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}
