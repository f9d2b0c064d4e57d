package org.cornelcrank.daemon;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.Subject;
import org.cornelcrank.daemon.wire.DumpAnswer;
import org.cornelcrank.daemon.wire.DumpSection;
import org.cornelcrank.daemon.wire.DumpTable;
import org.cornelcrank.daemon.wire.ExplainAnswer;
import org.cornelcrank.daemon.wire.ExplainQuestion;
import org.cornelcrank.daemon.wire.OperationsEnvelope;

/**
 * Encodes and decodes {@link OperationsMessage}s with protobuf.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class OperationsMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return "operations";
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof OperationsMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        OperationsEnvelope.Builder envelope = OperationsEnvelope.newBuilder();
        if (message instanceof OperationsMessage.ExplainRequest request) {
            envelope.getExplainQuestionBuilder()
                    .setNumber(request.number())
                    .setKind(request.subject().kind().name())
                    .setId(request.subject().id());
        } else if (message instanceof OperationsMessage.ExplainReply reply) {
            ExplainAnswer.Builder answer = envelope.getExplainAnswerBuilder().setNumber(reply.number());
            reply.decisions().forEach(decision -> answer.addDecisionsBuilder()
                    .setAtMs(decision.atMs())
                    .setDecision(decision.decision())
                    .setReason(decision.reason()));
        } else if (message instanceof OperationsMessage.DumpRequest request) {
            envelope.getDumpQuestionBuilder().setNumber(request.number()).setSection(request.section());
        } else if (message instanceof OperationsMessage.DumpReply reply) {
            envelope.setDumpAnswer(encodeDump(reply));
        } else {
            throw new IllegalArgumentException("message must be an operations message but was " + message);
        }
        return envelope.build().toByteString();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        OperationsEnvelope envelope = OperationsEnvelope.parseFrom(payload);
        return switch (envelope.getMessageCase()) {
            case EXPLAIN_QUESTION -> new OperationsMessage.ExplainRequest(
                    envelope.getExplainQuestion().getNumber(), decodeSubject(envelope.getExplainQuestion()));
            case EXPLAIN_ANSWER -> new OperationsMessage.ExplainReply(
                    envelope.getExplainAnswer().getNumber(),
                    envelope.getExplainAnswer().getDecisionsList().stream()
                            .map(encoded -> new DecisionJournal.Decision(
                                    encoded.getAtMs(), encoded.getDecision(), encoded.getReason()))
                            .toList());
            case DUMP_QUESTION -> new OperationsMessage.DumpRequest(
                    envelope.getDumpQuestion().getNumber(),
                    envelope.getDumpQuestion().getSection());
            case DUMP_ANSWER -> decodeDump(envelope.getDumpAnswer());
            case MESSAGE_NOT_SET -> throw new InvalidProtocolBufferException(
                    "operations message must be of a known kind");
        };
    }

    private static Subject decodeSubject(ExplainQuestion question) throws InvalidProtocolBufferException {
        try {
            return new Subject(Subject.Kind.valueOf(question.getKind()), question.getId());
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException("unknown kind of subject: " + question.getKind());
        }
    }

    private static DumpAnswer encodeDump(OperationsMessage.DumpReply reply) {
        DumpAnswer.Builder answer = DumpAnswer.newBuilder()
                .setNumber(reply.number())
                .setHost(reply.dump().host().value())
                .setAtMs(reply.dump().atMs());
        for (StateDump.Section section : reply.dump().sections()) {
            DumpSection.Builder encoded = answer.addSectionsBuilder().setName(section.name());
            for (StateDump.Field field : section.fields()) {
                encoded.addFieldsBuilder().setName(field.name()).setValue(field.value());
            }
            for (StateDump.Table table : section.tables()) {
                DumpTable.Builder rows =
                        encoded.addTablesBuilder().setName(table.name()).addAllColumns(table.columns());
                table.rows().forEach(row -> rows.addRowsBuilder().addAllCells(row));
            }
        }
        return answer.build();
    }

    private static OperationsMessage decodeDump(DumpAnswer answer) {
        List<StateDump.Section> sections = answer.getSectionsList().stream()
                .map(OperationsMessageCodec::decodeSection)
                .toList();
        return new OperationsMessage.DumpReply(
                answer.getNumber(), new StateDump(new HostId(answer.getHost()), answer.getAtMs(), sections));
    }

    private static StateDump.Section decodeSection(DumpSection section) {
        List<StateDump.Field> fields = section.getFieldsList().stream()
                .map(field -> new StateDump.Field(field.getName(), field.getValue()))
                .toList();
        List<StateDump.Table> tables = section.getTablesList().stream()
                .map(table -> new StateDump.Table(
                        table.getName(),
                        List.copyOf(table.getColumnsList()),
                        table.getRowsList().stream()
                                .map(row -> List.copyOf(row.getCellsList()))
                                .toList()))
                .toList();
        return new StateDump.Section(section.getName(), fields, tables);
    }
}
