package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.ragwortmoor.state.rules.RuleDiff;
import org.ragwortmoor.state.rules.RuleLine;
import org.ragwortmoor.state.rules.RuleSet;

/** Shows what replacing one rule file by another changes. */
final class RulesDiff extends JsonCommand {
    @Argument(index = 0, metaVar = "OLD", required = true, usage = "rule file in force")
    private String old;

    @Argument(index = 1, metaVar = "NEW", required = true, usage = "rule file to apply")
    private String next;

    @Override
    public ExitCode run(Console console) {
        Either<ExitCode, RuleSet> before = RuleFile.rules(old, console);
        Either<ExitCode, RuleSet> after = RuleFile.rules(next, console);
        if (before.isLeft() || after.isLeft()) {
            return before.isLeft() ? before.getLeft() : after.getLeft();
        }
        RuleDiff diff = RuleDiff.between(before.get(), after.get());
        if (json()) {
            console.printJson(json(diff));
        } else {
            console.out().print(diff.empty() ? "no change\n" : diff.text());
        }
        return ExitCode.OK;
    }

    private static ObjectNode json(RuleDiff diff) {
        ObjectNode json = Console.object();
        add(json.putArray("added"), diff.added());
        add(json.putArray("removed"), diff.removed());
        ArrayNode reattributed = json.putArray("reattributed");
        for (RuleDiff.Reattribution change : diff.reattributed()) {
            ObjectNode item = reattributed.addObject();
            item.set("before", RuleFile.json(change.before()));
            item.set("after", RuleFile.json(change.after()));
        }
        add(json.putArray("widenedScopes"), diff.widenedScopes());
        return json;
    }

    private static void add(ArrayNode array, List<RuleLine> lines) {
        lines.forEach(line -> array.add(RuleFile.json(line)));
    }
}
