package org.ragwortmoor.cli;

import io.vavr.control.Option;
import org.kohsuke.args4j.Argument;

/** Checks a rule file; warnings do not refuse it. */
final class RulesCheck extends JsonCommand {
    @Argument(metaVar = "FILE", required = true, usage = "rule file")
    private String name;

    @Override
    public ExitCode run(Console console) {
        Option<RuleFile> read = RuleFile.read(name, console);
        if (read.isEmpty()) {
            return ExitCode.ENVIRONMENT;
        }
        RuleFile file = read.get();
        boolean accepted = file.result().rules().isDefined();
        if (json()) {
            console.printJson(file.json());
        } else {
            file.result().problems().forEach(p -> console.out().println(p.text(name)));
            console.out()
                    .printf(
                            "%s: %s, %d errors, %d warnings%n",
                            name,
                            accepted ? "accepted" : "refused",
                            file.result().errors().size(),
                            file.result().warnings().size());
        }
        return accepted ? ExitCode.OK : ExitCode.REFUSED;
    }
}
