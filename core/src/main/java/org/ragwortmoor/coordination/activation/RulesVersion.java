package org.ragwortmoor.coordination.activation;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.ragwortmoor.coordination.control.ControlUpdate.RulesText;
import org.ragwortmoor.state.rules.ParseResult;
import org.ragwortmoor.state.rules.RuleParser;
import org.ragwortmoor.state.rules.RuleSet;

/** A version of the rules: number, text and parsed rules. */
record RulesVersion(long version, String text, RuleSet rules) {
    /** Parses a received version, if present. */
    static Either<UpdateResult, Option<RulesVersion>> parse(Option<RulesText> received) {
        if (received.isEmpty()) {
            return Either.right(Option.none());
        }
        RulesText text = received.get();
        ParseResult result = RuleParser.parse(text.text());
        return result.rules()
                .map(rules -> Option.of(new RulesVersion(text.version(), text.text(), rules)))
                .toEither(() -> refuseUnparsable(text, result));
    }

    private static UpdateResult refuseUnparsable(RulesText text, ParseResult result) {
        return new UpdateResult(
                UpdateResult.Kind.REFUSED,
                "rules version "
                        + text.version()
                        + " cannot be read ("
                        + result.errors().get(0).text("rules")
                        + "); run the same release on proxies and control processes");
    }

    /** Returns whether {@code other} has the same version number and a different text. */
    boolean contradicts(RulesVersion other) {
        return version == other.version && !text.equals(other.text);
    }
}
