package org.cornelcrank.cli.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Writes the results of a scenario as a self-contained HTML page with plots.
 *
 * <p>Immutable, thus thread-safe.
 */
public final class LoadPage {

    private static final int PLOT_WIDTH_PX = 900;
    private static final int PLOT_HEIGHT_PX = 380;

    private final Scenario scenario;
    private final List<RunResult> results;

    public LoadPage(Scenario scenario, List<RunResult> results) {
        this.scenario = Objects.requireNonNull(scenario, "scenario must not be null");
        this.results = List.copyOf(results);
    }

    public void write(Path file) throws IOException {
        StringBuilder page = new StringBuilder(
                        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(scenario.name()))
                .append("</title><style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}")
                .append("td,th{border:1px solid #999;padding:.3em .6em;text-align:right}</style></head><body>\n<h1>")
                .append(escape(scenario.name()))
                .append("</h1>\n<p>seed ")
                .append(scenario.seed())
                .append(", ")
                .append(scenario.warmUpMs())
                .append(" ms warm-up, ")
                .append(scenario.durationMs())
                .append(" ms measured; times in ms</p>\n");
        table(LoadTables.LATENCY_HEADINGS, LoadTables.latencyRows(results), page);
        table(LoadTables.FLEET_HEADINGS, LoadTables.fleetRows(results), page);
        LoadTables.comparisons(results)
                .forEach(line -> page.append("<p>").append(escape(line)).append("</p>\n"));
        LoadTables.addedLatency(results)
                .forEach(line -> page.append("<p>").append(escape(line)).append("</p>\n"));
        plot(latencyChart("Time to first token by percentile", RunResult.StreamResult::firstToken), page);
        plot(latencyChart("Time between tokens by percentile", RunResult.StreamResult::betweenTokens), page);
        plot(slotChart(), page);
        page.append("</body></html>\n");
        Files.writeString(file, page.toString(), StandardCharsets.UTF_8);
    }

    private XYChart latencyChart(String title, Function<RunResult.StreamResult, LatencySummary> latency) {
        XYChart chart = chart(title, "percentile", "ms");
        for (RunResult result : results) {
            for (RunResult.StreamResult stream : result.streams()) {
                List<LatencySummary.Point> curve = latency.apply(stream).curve();
                chart.addSeries(
                                result.label() + ", " + stream.stream(),
                                curve.stream()
                                        .mapToDouble(LatencySummary.Point::percentile)
                                        .toArray(),
                                curve.stream()
                                        .mapToDouble(LatencySummary.Point::ms)
                                        .toArray())
                        .setMarker(SeriesMarkers.NONE);
            }
        }
        return chart;
    }

    private XYChart slotChart() {
        XYChart chart = chart("Busy slots", "ms since the start", "slots");
        for (RunResult result : results) {
            if (!result.samples().isEmpty()) {
                chart.addSeries(
                                result.label(),
                                result.samples().stream()
                                        .mapToDouble(RunResult.Sample::atMs)
                                        .toArray(),
                                result.samples().stream()
                                        .mapToDouble(RunResult.Sample::busySlots)
                                        .toArray())
                        .setMarker(SeriesMarkers.NONE);
            }
        }
        return chart;
    }

    private static XYChart chart(String title, String xTitle, String yTitle) {
        return new XYChartBuilder()
                .width(PLOT_WIDTH_PX)
                .height(PLOT_HEIGHT_PX)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
    }

    private static void plot(XYChart chart, StringBuilder page) throws IOException {
        if (chart.getSeriesMap().isEmpty()) {
            return;
        }
        byte[] image = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        page.append("<p><img alt=\"")
                .append(escape(chart.getTitle()))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(image))
                .append("\"></p>\n");
    }

    private static void table(List<String> headings, List<List<String>> rows, StringBuilder page) {
        page.append("<table><tr>");
        headings.forEach(heading -> page.append("<th>").append(escape(heading)).append("</th>"));
        page.append("</tr>\n");
        for (List<String> row : rows) {
            page.append("<tr>");
            row.forEach(cell -> page.append("<td>").append(escape(cell)).append("</td>"));
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
