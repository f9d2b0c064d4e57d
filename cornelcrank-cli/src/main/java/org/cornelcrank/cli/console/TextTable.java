package org.cornelcrank.cli.console;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes tables with aligned columns.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class TextTable {

    private static final String COLUMN_GAP = "  ";

    private TextTable() {}

    /** Writes the headings and rows, or only {@code emptyText} if there are no rows. */
    public static void print(List<String> headings, List<List<String>> rows, String emptyText, Console console) {
        if (rows.isEmpty()) {
            console.line(emptyText);
            return;
        }
        List<Integer> widths = new ArrayList<>();
        for (int column = 0; column < headings.size(); column++) {
            int width = headings.get(column).length();
            for (List<String> row : rows) {
                width = Math.max(width, row.get(column).length());
            }
            widths.add(width);
        }
        console.line(line(headings, widths));
        rows.forEach(row -> console.line(line(row, widths)));
    }

    private static String line(List<String> cells, List<Integer> widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            String cell = cells.get(column);
            line.append(column == 0 ? "" : COLUMN_GAP)
                    .append(cell)
                    .append(" ".repeat(widths.get(column) - cell.length()));
        }
        return line.toString().stripTrailing();
    }
}
