package psadmin

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"persimmonstep/internal/version/psdoc"
)

// DocumentsResponse lists the documents of the latest version.
type DocumentsResponse struct {
	// Version is the latest configuration version.
	Version uint64 `json:"version"`
	// Documents lists them by name.
	Documents []DocumentEntry `json:"documents"`
}

// DocumentEntry describes one document.
type DocumentEntry struct {
	Name psdoc.Name `json:"name"`
	// Bytes is the length of the text.
	Bytes int `json:"bytes"`
	// Reserved says that only commands write the document.
	Reserved bool `json:"reserved"`
}

// DocumentResponse is one document as it was written.
type DocumentResponse struct {
	Version uint64     `json:"version"`
	Name    psdoc.Name `json:"name"`
	Text    string     `json:"text"`
}

func (a *API) registerDocuments(h huma.API) {
	registerList(h, "listDocuments", "/v1/documents", "List the documents of the latest version", a.documents)
	type named struct {
		Name string `path:"name" maxLength:"63"`
	}
	huma.Register(h, huma.Operation{OperationID: "getDocument", Method: http.MethodGet, Path: "/v1/documents/{name}", Summary: "Get a document of the latest version"},
		func(ctx context.Context, in *named) (*output[DocumentResponse], error) {
			out, err := a.document(ctx, psdoc.Name(in.Name))
			return &output[DocumentResponse]{out}, err
		})
}

func (a *API) documents(ctx context.Context) (DocumentsResponse, error) {
	head, content, err := a.latest(ctx)
	if err != nil {
		return DocumentsResponse{}, unreadable(err)
	}
	entries := lo.Map(slices.Sorted(maps.Keys(content.Documents)), func(n psdoc.Name, _ int) DocumentEntry {
		return DocumentEntry{Name: n, Bytes: len(content.Documents[n]), Reserved: psdoc.Reserved(n)}
	})
	return DocumentsResponse{Version: head.Version, Documents: entries}, nil
}

func (a *API) document(ctx context.Context, n psdoc.Name) (DocumentResponse, error) {
	head, content, err := a.latest(ctx)
	if err != nil {
		return DocumentResponse{}, unreadable(err)
	}
	text, found := content.Documents[n]
	if !found {
		return DocumentResponse{}, huma.Error404NotFound("the latest version has no such document")
	}
	return DocumentResponse{Version: head.Version, Name: n, Text: text}, nil
}

func unreadable(err error) error {
	return huma.Error503ServiceUnavailable("the latest version could not be read", err)
}
