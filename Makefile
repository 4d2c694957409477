.PHONY: check test generate

check:
	bash .ci/run

test:
	bash .ci/test

# Needs buf, protoc-gen-go and protoc-gen-twirp on the path.
generate:
	buf generate
