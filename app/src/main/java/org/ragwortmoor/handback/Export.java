package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.cli.ExitCode;
import org.ragwortmoor.state.rules.Rule;
import org.ragwortmoor.state.rules.RuleLine;

/** The export of all records of one partner into a folder. */
final class Export {
    private final Plan plan;
    private final ApiClient proxies;
    private final RulesReader rulesReader;
    private final Runnable afterPage;
    private ExportState state;

    /**
     * What to export.
     *
     * @param partner name of the partner
     * @param folder folder of the export
     * @param principal principal of the sessions that read
     * @param pageRecords records per page
     * @param concurrentWrites whether sessions that may write the records are accepted
     * @param rulesLimit longest wait for the rules to be in force
     * @param limit longest duration of the export
     */
    record Plan(
            String partner,
            Path folder,
            String principal,
            int pageRecords,
            boolean concurrentWrites,
            Duration rulesLimit,
            Duration limit) {}

    /**
     * Creates an export.
     *
     * @param afterPage called whenever the state of the export has been synced
     */
    Export(Plan plan, ApiClient proxies, ApiClient controls, Runnable afterPage) {
        this.plan = plan;
        this.proxies = proxies;
        this.rulesReader = new RulesReader(controls);
        this.afterPage = afterPage;
    }

    /**
     * Runs or continues the export.
     *
     * @return the manifest
     */
    JsonNode run() throws HandBackException, IOException {
        Files.createDirectories(plan.folder());
        try (ExportLock lock = ExportLock.take(plan.folder())) {
            return run(lock.folder().resolve(Manifest.FILE));
        }
    }

    private JsonNode run(Path manifestFile) throws HandBackException, IOException {
        if (Files.exists(manifestFile)) {
            return finished(manifestFile);
        }
        Deadline deadline =
                Deadline.after(
                        plan.limit(),
                        "run the command again to continue the export, or raise --limit");
        PartnerRules rules = rules();
        state = load(rules);
        List<RuleLine> lines = rules.partnerLines();
        for (int i = 0; i < lines.size(); i++) {
            if (!state.prefixes().get(i).complete()) {
                exportPrefix(rules, lines.get(i), i, deadline);
            }
        }
        if (rules().version() != state.rulesVersion()) {
            throw changedRules();
        }
        JsonNode manifest = Manifest.of(state);
        byte[] text = ExportFiles.JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(manifest);
        ExportFiles.replace(manifestFile, text);
        return finished(manifestFile);
    }

    /** A crash can leave the state file beside the manifest, which replaces it. */
    private JsonNode finished(Path manifestFile) throws HandBackException, IOException {
        JsonNode manifest = ExportFiles.JSON.readTree(manifestFile.toFile());
        if (!manifest.path("partner").asText().equals(plan.partner())) {
            throw new HandBackException(
                    ExitCode.USAGE,
                    plan.folder() + " holds the export of another partner; use a new folder");
        }
        Files.deleteIfExists(plan.folder().resolve(ExportState.FILE));
        ExportFiles.syncFolder(plan.folder());
        return manifest;
    }

    private PartnerRules rules() throws HandBackException {
        Deadline deadline =
                Deadline.after(
                        plan.rulesLimit(),
                        "start the proxies that it waits for, or remove stopped ones with"
                                + " \"ragwortmoor proxies remove\", then run the command again");
        PartnerRules rules = rulesReader.awaitInForce(plan.partner(), deadline);
        rules.checkReadable(plan.principal());
        List<RuleLine> writers = rules.writers();
        if (!writers.isEmpty() && !plan.concurrentWrites()) {
            throw new HandBackException(
                    ExitCode.REFUSED,
                    "sessions may still write the records of "
                            + plan.partner()
                            + " by "
                            + String.join(
                                    "; ", writers.stream().map(RuleLine::description).toList())
                            + "; apply rules with \"deny write session=* partner="
                            + plan.partner()
                            + "\" or without these lines, or state --allow-concurrent-writes");
        }
        return rules;
    }

    private ExportState load(PartnerRules rules) throws HandBackException, IOException {
        Path file = plan.folder().resolve(ExportState.FILE);
        if (Files.exists(file)) {
            ExportState found = ExportFiles.JSON.readValue(file.toFile(), ExportState.class);
            if (found.rulesVersion() != rules.version()
                    || !found.partner().equals(plan.partner())
                    || found.concurrentWrites() != plan.concurrentWrites()) {
                throw changedRules();
            }
            return found;
        }
        try (Stream<Path> present = Files.list(plan.folder())) {
            if (present.anyMatch(p -> !expected(p.getFileName().toString()))) {
                throw new HandBackException(
                        ExitCode.USAGE,
                        plan.folder() + " holds files and no export state; use an empty folder");
            }
        }
        List<PrefixState> prefixes = new ArrayList<>();
        for (RuleLine line : rules.partnerLines()) {
            Rule.Partner rule = (Rule.Partner) line.rule();
            prefixes.add(
                    PrefixState.first(
                            "records-%04d.jsonl".formatted(prefixes.size() + 1),
                            line.line(),
                            line.requester().description(),
                            rule.group(),
                            rule.prefix()));
        }
        String time = Instant.now().truncatedTo(ChronoUnit.MILLIS).toString();
        return new ExportState(
                plan.partner(), rules.version(), time, plan.concurrentWrites(), prefixes);
    }

    private static boolean expected(String file) {
        return file.endsWith(".tmp") || file.equals(ExportLock.FILE);
    }

    private HandBackException changedRules() {
        return new HandBackException(
                ExitCode.REFUSED,
                "the rules, the partner or --allow-concurrent-writes differ from those with which"
                        + " the export in "
                        + plan.folder()
                        + " was begun; start again in a new folder");
    }

    private void exportPrefix(PartnerRules rules, RuleLine line, int index, Deadline deadline)
            throws HandBackException, IOException {
        PrefixState prefix = state.prefixes().get(index);
        ProxyReader reader =
                new ProxyReader(
                        proxies, plan.principal(), prefix.group(), prefix.prefix(), deadline);
        new PrefixExport(
                        reader,
                        plan.folder(),
                        key -> rules.owns(line, prefix.group(), key),
                        plan.pageRecords(),
                        plan.concurrentWrites(),
                        changed -> save(index, changed))
                .run(prefix);
    }

    private void save(int index, PrefixState prefix) throws IOException {
        state = state.with(index, prefix);
        Path file = plan.folder().resolve(ExportState.FILE);
        ExportFiles.replace(file, ExportFiles.JSON.writeValueAsBytes(state));
        afterPage.run();
    }
}
