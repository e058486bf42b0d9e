"""Pure decisions: tables of entities and the systems that run over them."""
