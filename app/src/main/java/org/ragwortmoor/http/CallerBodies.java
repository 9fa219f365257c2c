package org.ragwortmoor.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/** JSON bodies that callers send to a proxy and receive from it. */
public final class CallerBodies {
    private CallerBodies() {}

    /**
     * Opens a session.
     *
     * @param principal name under which rules admit or refuse the session
     */
    public record SessionBody(String principal) {}

    /**
     * An open session.
     *
     * @param token opaque token to be sent with each request, to any proxy
     * @param session identifier of the session
     * @param expiresAtMillis end of the session in milliseconds since the epoch
     */
    public record SessionAnswer(String token, String session, long expiresAtMillis) {}

    /** Reads records by key or by prefix. */
    public record ReadBody(
            String token,
            String group,
            List<String> keys,
            ScanBody scan,
            String level,
            Long maxAgeMillis,
            Long deadlineMillis,
            String label,
            Long serviceMicros) {}

    /**
     * A range of keys.
     *
     * @param prefix prefix of the keys
     * @param after only keys greater than this one; absent to start at the first
     * @param limit largest number of records, 1,000 at most
     */
    public record ScanBody(String prefix, String after, Integer limit) {}

    /**
     * One operation.
     *
     * @param op {@code get}, {@code put}, {@code delete} or {@code increment}
     * @param key key of the record
     * @param value new value, with {@code put}
     * @param delta number to add, with {@code increment}
     */
    public record OperationBody(String op, String key, String value, Long delta) {}

    /**
     * Runs operations as one transaction.
     *
     * @param key idempotency key; the proxy makes one if it is absent
     * @param repeatable whether the write may run more than once; false if absent
     */
    public record WriteBody(
            String token,
            String group,
            List<OperationBody> operations,
            String key,
            Boolean repeatable,
            Long deadlineMillis,
            String label,
            Long serviceMicros) {}

    /** Begins a transaction that is rolled back after {@code transactionMillis}. */
    public record BeginBody(
            String token, String group, Long transactionMillis, Long deadlineMillis) {}

    /** Runs operations within a transaction, or ends it. */
    public record TransactionBody(
            String token,
            String group,
            String transaction,
            List<OperationBody> operations,
            String key,
            Long deadlineMillis,
            Long serviceMicros) {}

    /** Asks for the outcome of the write with an idempotency key; cancels it if it did not run. */
    public record OutcomeBody(String token, String group, String key, Long deadlineMillis) {}

    /** A record that was read; {@code value} is absent if there is no such record. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record RecordBody(String key, String value) {}

    /**
     * Why a request was not answered with a result.
     *
     * @param kind error kind
     * @param message reason and remedy
     * @param retryAfterMillis hint when to try again; 0 if trying again is useless
     */
    public record ErrorBody(String kind, String message, long retryAfterMillis) {}

    /**
     * The answer to a request.
     *
     * @param outcome {@code done}, {@code not-run} or {@code unknown}
     * @param key idempotency key of a write
     * @param withheld records that a scan found and the rules withhold from the session
     * @param scannedTo last key that a scan reached; the next page starts after it
     * @param token token that contains what this request saw; to be used from now on
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Answer(
            String outcome,
            List<RecordBody> records,
            String position,
            String token,
            String endpoint,
            Boolean replica,
            Boolean duplicate,
            String transaction,
            String key,
            Integer withheld,
            String scannedTo,
            ErrorBody error) {
        /** Returns an answer that says that the request was not executed and never will be. */
        public static Answer notRun(String kind, String message, long retryAfterMillis) {
            ErrorBody error = new ErrorBody(kind, message, retryAfterMillis);
            return new Answer(
                    "not-run", null, null, null, null, null, null, null, null, null, null, error);
        }

        /** Returns an answer that says that the outcome is unknown. */
        public static Answer unknown(String kind, String message, String key) {
            ErrorBody error = new ErrorBody(kind, message, 0);
            return new Answer(
                    "unknown", null, null, null, null, null, null, null, key, null, null, error);
        }
    }
}
