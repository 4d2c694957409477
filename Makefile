.PHONY: check test generate

check:
	bash .ci/run

test:
	go test ./...

# Needs buf, protoc-gen-go and protoc-gen-twirp on the path.
generate:
	buf generate
