package faker

import "github.com/egretwall/egretwall/pkg/configurator"

// Choice is a choice of a completion or of a chunk, in the format of the OpenAI API.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// CompletionResponse is a completion or a chunk of one, in the format of the
// OpenAI API.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// NewCompletionResponse returns a complete response for the chat or the text
// endpoint.
func NewCompletionResponse(m configurator.ModelName, text string, chat bool) CompletionResponse {
	stop := "stop"
	if chat {
		return CompletionResponse{"cmpl", "chat.completion", string(m), []Choice{{Message: &Message{"assistant", text}, FinishReason: &stop}}}
	}
	return CompletionResponse{"cmpl", "text_completion", string(m), []Choice{{Text: text, FinishReason: &stop}}}
}

// NewCompletionChunk returns the data of one event of a streamed response.
func NewCompletionChunk(m configurator.ModelName, token string, chat bool) CompletionResponse {
	if chat {
		return CompletionResponse{"cmpl", "chat.completion.chunk", string(m), []Choice{{Delta: &Message{Content: token}}}}
	}
	return CompletionResponse{"cmpl", "text_completion", string(m), []Choice{{Text: token}}}
}
