"""gRPC schema, generated code, server, clients and conversion to data classes."""
