package org.cornelcrank.daemon;

import java.util.ArrayList;
import java.util.List;

/**
 * Renders a state dump as text with aligned columns.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class DumpText {

    private static final String INDENT = "  ";

    private DumpText() {}

    /**
     * Renders a dump.
     *
     * @param dump the state dump
     * @return its text, ending in a line feed
     */
    public static String render(StateDump dump) {
        StringBuilder text = new StringBuilder();
        text.append("host ")
                .append(dump.host())
                .append(" at ")
                .append(dump.atMs())
                .append(" ms\n");
        for (StateDump.Section section : dump.sections()) {
            text.append('\n').append(section.name()).append('\n');
            appendFields(text, section.fields());
            section.tables().forEach(table -> appendTable(text, table));
        }
        return text.toString();
    }

    private static void appendFields(StringBuilder text, List<StateDump.Field> fields) {
        int width =
                fields.stream().mapToInt(field -> field.name().length()).max().orElse(0);
        for (StateDump.Field field : fields) {
            text.append(INDENT).append(padded(field.name(), width)).append(INDENT);
            text.append(field.value()).append('\n');
        }
    }

    private static void appendTable(StringBuilder text, StateDump.Table table) {
        text.append(INDENT)
                .append(table.name())
                .append(": ")
                .append(table.rows().size())
                .append('\n');
        if (table.rows().isEmpty()) {
            return;
        }
        List<List<String>> lines = new ArrayList<>();
        lines.add(table.columns());
        lines.addAll(table.rows());
        int[] widths = widths(lines);
        for (List<String> line : lines) {
            StringBuilder rendered = new StringBuilder(INDENT);
            for (int column = 0; column < line.size(); column++) {
                rendered.append(INDENT).append(padded(line.get(column), widths[column]));
            }
            text.append(rendered.toString().stripTrailing()).append('\n');
        }
    }

    private static int[] widths(List<List<String>> lines) {
        int[] widths = new int[lines.get(0).size()];
        for (List<String> line : lines) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], line.get(column).length());
            }
        }
        return widths;
    }

    private static String padded(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
