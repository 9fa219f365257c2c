package org.ragwortmoor.coordination.session;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * Decides whether an answer belongs to the oldest unanswered statement of a server connection.
 *
 * <p>Answers carry no statement id, and a server may send an answer twice, the second time at any
 * later moment. Their order alone therefore assigns nothing. Different statements have different
 * signatures. An answer without a signature can only be a repetition if the connection has
 * delivered the same before.
 */
final class AnswerMatcher {
    /** What an answer is. */
    enum Verdict {
        /** The answer to the statement. */
        MATCHED,
        /** A repetition of an earlier answer; that of the statement is still to come. */
        REPEATED,
        /** An error that the connection has delivered before: an answer or a repetition. */
        AMBIGUOUS,
        /** The answer to another statement. */
        MISPLACED
    }

    private final SeenSignatures signatures = new SeenSignatures();
    private final Set<String> errorCodes = new HashSet<>();
    private boolean deliveredUnsigned;

    /**
     * Matches an answer, and records it.
     *
     * @param statementId id of the oldest unanswered statement
     * @param expected what the unanswered statements are answered if they succeed, in order; at
     *     least one
     * @param completion COMPLETE or ERROR
     * @param state transaction state after the answer
     */
    Verdict match(
            String statementId,
            List<ExpectedAnswer> expected,
            StatementMessage completion,
            String state) {
        if (completion.kind() == MessageKind.ERROR) {
            return errorCodes.add(completion.field(0)) ? Verdict.MATCHED : Verdict.AMBIGUOUS;
        }
        boolean signatureExpected = expected.get(0).signed();
        if (isSigned(completion)) {
            return matchSigned(statementId, completion.field(0), signatureExpected);
        }
        boolean mayBeRepeated = deliveredUnsigned;
        deliveredUnsigned = true;
        ExpectedAnswer unsigned = new ExpectedAnswer(false, state);
        if (expected.get(0).equals(unsigned)) {
            return Verdict.MATCHED;
        }
        // If a later statement has this answer, that of the first one may have been lost.
        boolean repeated = mayBeRepeated && !expected.contains(unsigned);
        return repeated ? Verdict.REPEATED : Verdict.MISPLACED;
    }

    private Verdict matchSigned(String statementId, String signature, boolean expected) {
        if (signatures.add(signature, statementId)) {
            return expected ? Verdict.MATCHED : Verdict.MISPLACED;
        }
        // A statement that is sent again may get its former signature, which proves nothing then.
        return signatures.wasFor(signature, statementId) ? Verdict.MISPLACED : Verdict.REPEATED;
    }

    /** Returns whether a message is a success with a signature. */
    static boolean isSigned(StatementMessage completion) {
        return completion.kind() == MessageKind.COMPLETE
                && !completion.field(0).equals(ExchangeResult.UNSIGNED);
    }

    /** Returns the error code of a message, or whether it is signed, as the label of a metric. */
    static String kindOf(StatementMessage completion) {
        if (completion.kind() == MessageKind.ERROR) {
            return ErrorCode.fromName(completion.field(0)).name();
        }
        return isSigned(completion) ? "signed" : "unsigned";
    }

    /** Returns whether the connection has delivered an error with this code. */
    boolean hasDelivered(ErrorCode code) {
        return errorCodes.contains(code.name());
    }

    /** Returns whether the connection should be replaced because too much must be remembered. */
    boolean full() {
        return signatures.full();
    }
}
