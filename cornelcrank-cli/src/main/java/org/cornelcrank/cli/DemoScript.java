package org.cornelcrank.cli;

import java.util.List;

/**
 * The requests that the demonstration sends to one deployment.
 *
 * <p>Immutable, thus thread-safe.
 */
record DemoScript(
        String keyId,
        String model,
        String workload,
        String systemText,
        List<String> questions,
        String batchFile,
        String plainService,
        String plainPath) {

    static DemoScript of(String deployment) {
        return switch (deployment) {
            case "nilavu" -> new DemoScript(
                    "nilavu",
                    "saarthi-lm",
                    "kiosk",
                    "Tell the member which counter to go to and which papers to show.",
                    List.of(
                            "വായ്പ പുതുക്കാൻ ഏത് കൗണ്ടർ?",
                            "പെൻഷൻ സർട്ടിഫിക്കറ്റിന് എന്തൊക്കെ രേഖകൾ വേണം?",
                            "സ്വർണ്ണ വായ്പ അടയ്ക്കാൻ എവിടെ?"),
                    "visits.jsonl",
                    "slip-printer",
                    "/slips");
            case "tatranske" -> new DemoScript(
                    "tatranske",
                    "hlasenia-llm",
                    "dispatch",
                    "Tell the dispatcher what the log says of the crossing.",
                    List.of(
                            "Závora na priecestí Kysak zostala dole, čo hovorí záznam?",
                            "Svetlá v Margecanoch blikajú, od kedy?",
                            "Ktorá skupina je najbližšie k priecestiu Štrba?"),
                    "rollup.jsonl",
                    "stav-app",
                    "/vans");
            default -> throw new IllegalArgumentException(
                    "no demonstration exists for deployment '" + deployment + "'");
        };
    }
}
