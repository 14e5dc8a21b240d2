"""gRPC schema, generated code and adapters to data classes."""
