package org.ragwortmoor.settings;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Reads the settings of a role. A flag takes precedence over the environment, the environment over
 * the settings file, and the file over the default. All problems are reported in one run.
 *
 * <p>Flags are not read by the argument library of the commands, because it stops at the first
 * error.
 */
public final class SettingsReader {
    /** Name of the flag and variable that name the settings file. */
    public static final String FILE = "settings";

    private final Map<String, String> environment;
    private final List<SettingsProblem> problems = new ArrayList<>();

    /** Creates a reader for one run. */
    public SettingsReader(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** Returns the settings, or all problems. */
    public <T> Either<List<SettingsProblem>, T> read(Role<T> role, List<String> arguments) {
        problems.clear();
        Map<String, Found> flags = flags(role, arguments);
        Map<String, Found> file = file(role, flags);
        Map<String, Object> values = new HashMap<>();
        for (Setting<?> setting : role.settings()) {
            find(setting, flags, file)
                    .flatMap(found -> read(setting, found))
                    .peek(value -> values.put(setting.name(), value));
        }
        if (!problems.isEmpty()) {
            return Either.left(List.copyOf(problems));
        }
        T settings = role.builder().apply(new SettingValues(values));
        List<SettingsProblem> conflicts = role.constraints().apply(settings);
        return conflicts.isEmpty() ? Either.right(settings) : Either.left(conflicts);
    }

    /** A text and the place where it was found. */
    private record Found(String place, String text) {}

    private Map<String, Found> flags(Role<?> role, List<String> arguments) {
        Map<String, Found> flags = new HashMap<>();
        int i = 0;
        while (i < arguments.size()) {
            String argument = arguments.get(i++);
            int equals = argument.indexOf('=');
            String flag = equals < 0 ? argument : argument.substring(0, equals);
            if (!known(role, flag)) {
                problems.add(
                        new SettingsProblem(
                                argument, "there is no such flag", "use one of " + names(role)));
                // The value of a misspelt flag would be reported as a second wrong flag.
                i += equals < 0 && i < arguments.size() && !isFlag(arguments.get(i)) ? 1 : 0;
            } else if (equals >= 0) {
                put(flags, flag, argument.substring(equals + 1));
            } else if (i < arguments.size() && !isFlag(arguments.get(i))) {
                put(flags, flag, arguments.get(i++));
            } else {
                problems.add(
                        new SettingsProblem(
                                flag, "the value is missing", "write " + flag + " VALUE"));
            }
        }
        return flags;
    }

    private void put(Map<String, Found> flags, String flag, String text) {
        if (flags.putIfAbsent(flag.substring(2), new Found(flag, text)) != null) {
            problems.add(new SettingsProblem(flag, "it is given twice", "give it once"));
        }
    }

    private static boolean isFlag(String argument) {
        return argument.startsWith("--");
    }

    private static boolean known(Role<?> role, String flag) {
        return flag.equals("--" + FILE)
                || role.settings().stream().anyMatch(s -> s.flag().equals(flag));
    }

    private static String names(Role<?> role) {
        return role.settings().stream().map(Setting::flag).collect(Collectors.joining(", "))
                + ", --"
                + FILE;
    }

    private Map<String, Found> file(Role<?> role, Map<String, Found> flags) {
        String variable = environment.get(Setting.variable(FILE));
        Found path =
                flags.getOrDefault(
                        FILE,
                        variable == null ? null : new Found(Setting.variable(FILE), variable));
        if (path == null) {
            return Map.of();
        }
        try {
            return lines(role, path.text(), Files.readAllLines(Path.of(path.text())));
        } catch (IOException | InvalidPathException e) {
            problems.add(
                    new SettingsProblem(
                            path.place(),
                            "the file '" + path.text() + "' cannot be read (" + e + ")",
                            "name a readable UTF-8 file"));
            return Map.of();
        }
    }

    private Map<String, Found> lines(Role<?> role, String path, List<String> lines) {
        Map<String, Found> found = new HashMap<>();
        for (int i = 0; i < lines.size(); i++) {
            String place = path + ":" + (i + 1);
            String line = lines.get(i).strip();
            int equals = line.indexOf('=');
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            String name = equals < 0 ? line : line.substring(0, equals).strip();
            if (equals < 0) {
                problems.add(new SettingsProblem(place, "there is no '='", "write NAME = VALUE"));
            } else if (role.settings().stream().noneMatch(s -> s.name().equals(name))) {
                problems.add(
                        new SettingsProblem(
                                place,
                                "there is no setting '" + name + "'",
                                "use the names of " + names(role) + " without hyphens in front"));
            } else if (found.containsKey(name)) {
                problems.add(
                        new SettingsProblem(
                                place, "'" + name + "' is given twice", "give it once"));
            } else {
                found.put(name, new Found(place, line.substring(equals + 1).strip()));
            }
        }
        return found;
    }

    private Option<Found> find(
            Setting<?> setting, Map<String, Found> flags, Map<String, Found> file) {
        if (flags.containsKey(setting.name())) {
            return Option.of(flags.get(setting.name()));
        }
        String variable = environment.get(setting.variable());
        if (variable != null) {
            return Option.of(new Found(setting.variable(), variable));
        }
        if (file.containsKey(setting.name())) {
            return Option.of(file.get(setting.name()));
        }
        if (setting.defaultText().isEmpty()) {
            problems.add(
                    new SettingsProblem(
                            setting.flag(), "a required setting is missing", remedy(setting)));
        }
        return setting.defaultText().map(text -> new Found("default", text));
    }

    private Option<Object> read(Setting<?> setting, Found found) {
        Either<String, ?> value = setting.type().parse(found.text());
        if (value.isLeft()) {
            problems.add(
                    new SettingsProblem(
                            found.place(),
                            setting.name() + ": " + value.getLeft(),
                            remedy(setting)));
            return Option.none();
        }
        return Option.of(value.get());
    }

    private static String remedy(Setting<?> setting) {
        return "give "
                + setting.rangeWithUnit()
                + " with "
                + setting.flag()
                + ", "
                + setting.variable()
                + " or the settings file";
    }
}
