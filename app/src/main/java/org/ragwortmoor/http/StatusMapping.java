package org.ragwortmoor.http;

import io.micronaut.http.HttpStatus;

/** Maps error kinds to HTTP status codes; the body remains authoritative for the outcome. */
final class StatusMapping {
    private StatusMapping() {}

    static HttpStatus of(String kind) {
        return switch (kind) {
            case "BAD_REQUEST", "POSITION_LOST", "UNKNOWN_TRANSACTION" -> HttpStatus.BAD_REQUEST;
            case "BAD_TOKEN", "TOKEN_EXPIRED" -> HttpStatus.UNAUTHORIZED;
            case "FORBIDDEN", "FOREIGN_TRANSACTION" -> HttpStatus.FORBIDDEN;
            case "UNKNOWN_GROUP" -> HttpStatus.NOT_FOUND;
            case "CONFLICT", "CANCELLED" -> HttpStatus.CONFLICT;
            case "OVERLOADED" -> HttpStatus.TOO_MANY_REQUESTS;
            case "DEADLINE_EXCEEDED", "CONNECTION_LOST" -> HttpStatus.GATEWAY_TIMEOUT;
            default -> HttpStatus.SERVICE_UNAVAILABLE;
        };
    }
}
